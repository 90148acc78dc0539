import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import type { Settings } from '../../src/kernel/settings.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { FleetBroadcast } from '../../src/peers/fleet-broadcast.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import { PartBlame } from '../../src/routing/blame/part-blame.js'
import type { ObjectStore } from '../../src/store/object-store.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

interface Daemon { readonly blame: PartBlame, readonly sent: ReadonlyArray<readonly [to: string, message: PeerMessage]>, readonly receive: (message: PeerMessage, from: string) => void }

function createDaemon (): Daemon {
  const sent: Array<readonly [string, PeerMessage]> = []
  const links = { send: (to: string, message: PeerMessage) => { sent.push([to, message]) } } as unknown as PeerLinks
  const broadcast = { broadcast: (message: PeerMessage) => { sent.push(['all', message]) } } as unknown as FleetBroadcast
  const members = { all: () => [], owners: () => ['own'] } as unknown as Members
  const blame = new PartBlame(members, links, broadcast, new MemoryStore() as unknown as ObjectStore, { instance: 'own' } as unknown as Settings, new Metrics(), { write: () => {} }, new VirtualClock(), new Random(1))
  const receive = (message: PeerMessage, from: string): void => {
    for (const { value } of blame.extensions) if ((value as PeerHandler).type === message.type) (value as PeerHandler).handle(message, from)
  }
  return { blame, sent, receive }
}

const refusal = { type: 'part refused', refused: [{ part: 'x', left: 60_000, beside: [], losses: [3_000, 2_000, 1_000, 500].map(ago => ({ server: `s${ago}`, ago })) }] }

// Guards against the passes of several daemons that replace one another, as their messages come from the one that relays them.
test('passes count for the daemon that tells them, not for the one that relays them', t => {
  const { blame, receive } = createDaemon()
  receive(refusal, 'relay')
  t.is(blame.check(['x']).type, 'refused')
  for (const daemon of ['a', 'b']) receive({ type: 'part passes', daemon, passes: { x: 10 }, total: 40 }, 'relay')
  t.is(blame.check(['x']).type, 'clear')
})

// Guards against a part that an operator has released and a late record refuses again, at a daemon that knew nothing of it.
test('a daemon without evidence remembers a release', t => {
  const { blame, receive } = createDaemon()
  receive({ type: 'part released', part: 'x', left: 60_000 }, 'other')
  receive(refusal, 'late')
  t.is(blame.check(['x']).type, 'clear')
})

// Guards against a daemon that goes on refusing a released part, and tells others so, because it missed the release.
test('a daemon that still refuses a released part is told', t => {
  const { sent, receive } = createDaemon()
  receive(refusal, 'other')
  receive({ type: 'part released', part: 'x', left: 60_000 }, 'other')
  receive(refusal, 'late')
  t.deepEqual(sent.filter(([to]) => to === 'late'), [['late', { type: 'part released', part: 'x', left: 60_000 }]])
})
