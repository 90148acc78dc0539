import test from 'ava'
import type { Settings } from '../../src/kernel/settings.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import { PartTrials } from '../../src/routing/blame/part-trials.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const NAMES = ['a', 'b', 'c']

/** Daemons that reach one another at once. */
function createTrials (): { readonly clock: VirtualClock, readonly all: readonly PartTrials[] } {
  const clock = new VirtualClock()
  const all: PartTrials[] = []
  const receive = (to: string, from: string, { type, part, begun }: PeerMessage): void => {
    const trials = all[NAMES.indexOf(to)]!
    if (type === 'part trial ask') trials.receiveAsk(part as string, from, begun === true)
    else if (type === 'part trial') trials.receiveGrant(part as string)
    else if (type === 'part trial busy') trials.receiveBusy(part as string)
    else trials.receiveDone(part as string, from)
  }
  for (const instance of NAMES) {
    const links = { send: (to: string, message: PeerMessage) => receive(to, instance, message) } as unknown as PeerLinks
    all.push(new PartTrials({ clock, settings: { instance } as unknown as Settings, members: { owners: () => NAMES } as unknown as Members, links }))
  }
  return { clock, all }
}

// Guards against a request that gives up, granted a trial, while all others with the part wait for it in vain.
test('a trial that isn\'t begun is soon granted to another daemon', async t => {
  const { clock, all: [first, second] } = createTrials()
  t.true(first!.mayBegin('part'))
  t.false(second!.mayBegin('part'))
  await clock.advance(600)
  t.true(second!.mayBegin('part'))
})

// Guards against a daemon that grants itself a second trial while its first one still runs.
test('a daemon runs one trial of a part at a time, and others wait for its end', async t => {
  const { clock, all: [first, second] } = createTrials()
  t.true(first!.take('part'))
  for (let i = 0; i < 20; i++) {
    await clock.advance(100)
    t.false(first!.mayBegin('part'))
    t.false(second!.mayBegin('part'))
  }
  t.true(second!.isBusy('part'))
  first!.end('part')
  await clock.advance(300)
  t.false(second!.isBusy('part'))
  t.true(second!.take('part'))
})
