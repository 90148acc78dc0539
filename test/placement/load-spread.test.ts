import 'reflect-metadata'
import test from 'ava'
import type { Settings } from '../../src/kernel/settings.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import { LoadSpread } from '../../src/placement/load-spread.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const DOMAINS = ['a', 'b', 'c']

/** A fleet whose messages arrive at once and are counted. */
async function createFleet (size: number): Promise<{ readonly clock: VirtualClock, readonly spreads: readonly LoadSpread[], readonly heard: ReadonlyArray<Map<string, number>>, readonly sent: { count: number }, readonly dead: Set<string> }> {
  const clock = new VirtualClock()
  const sent = { count: 0 }
  const dead = new Set<string>()
  const names = Array.from({ length: size }, (_, i) => `d${i}`)
  const spreads: LoadSpread[] = []
  const heard: Array<Map<string, number>> = []
  for (const [i, name] of names.entries()) {
    const members = { all: () => names.filter(other => !dead.has(other)).map(other => ({ instance: { name: other, failureDomain: DOMAINS[Number(other.slice(1)) % 3] }, state: 'alive', run: 1 })) }
    const links = {
      send: (to: string, message: PeerMessage) => {
        sent.count++
        if (dead.has(to) || dead.has(name)) return
        for (const { value } of spreads[Number(to.slice(1))]!.extensions) if ((value as PeerHandler).type === message.type) (value as PeerHandler).handle(message, name)
      }
    }
    const spread = new LoadSpread({ instance: name, failureDomain: DOMAINS[i % 3] } as unknown as Settings, clock, members as unknown as Members, links as unknown as PeerLinks)
    const map = new Map<string, number>()
    spread.subscribe(rows => { for (const [daemon, row] of rows) map.set(daemon, row.counts[0]![1]) })
    spreads.push(spread)
    heard.push(map)
    await spread.start()
  }
  return { clock, spreads, heard, sent, dead }
}

for (const size of [6, 71]) {
  test(`${size} daemons: each hears all others within 250 ms, with at most six messages for each change`, async t => {
    const { clock, spreads, heard, sent } = await createFleet(size)
    sent.count = 0
    for (let round = 1; round <= 10; round++) {
      for (const spread of spreads) spread.send({ counts: [['s', round, 0]], waiting: [] })
      await clock.advance(100)
    }
    await clock.advance(150)
    t.true(heard.every((map, i) => map.size === size - 1 && [...map].every(([daemon, value]) => value === 10 && daemon !== `d${i}`)))
    t.log(`${sent.count} messages for ${10 * size} changes; each to each would be ${10 * size * (size - 1)}`)
    t.true(sent.count <= 10 * size * 6)
  })
}

// The hub of a failure domain ends. Its domain's counts reach the others again as soon as membership names another hub.
test('another daemon takes the place of a hub that has ended', async t => {
  const { clock, spreads, heard, dead } = await createFleet(30)
  for (const spread of spreads) spread.send({ counts: [['s', 1, 0]], waiting: [] })
  await clock.advance(300)
  for (const name of ['d0', 'd3', 'd6', 'd9', 'd12']) dead.add(name)
  for (const spread of spreads) spread.send({ counts: [['s', 2, 0]], waiting: [] })
  await clock.advance(300)
  const alive = heard.filter((_, i) => !dead.has(`d${i}`))
  t.true(alive.every(map => [...map].every(([daemon, value]) => value === (dead.has(daemon) ? 1 : 2))))
})
