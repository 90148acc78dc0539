import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { slotGroups } from '../../src/placement/slot-groups.js'
import { SlotFleet } from '../helpers/slot-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const DAEMONS = 20
const BROKER_DELAY = 160 // ms

// Guards against a busy broker that every daemon bypasses again and again, because its late responses count for nothing.
test('a broker that responds late is waited for once its daemons know its delay', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: DAEMONS, servers: 6, slots: 7, clock })
  await fleet.start()
  const random = new Random(9)
  const waits: number[] = []
  const broker = slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!
  const others = [...fleet.daemons.keys()].filter(name => name !== broker)
  const ask = (daemon: string): void => {
    const arrived = clock.now()
    fleet.ask(daemon, {
      start: server => {
        waits.push(clock.now() - arrived)
        clock.after(300, fleet.begin(daemon, server, 'online'))
      }
    })
  }
  fleet.delays.set(broker, BROKER_DELAY)
  for (let ms = 0; ms < 12_000; ms += 20) {
    ask(others[random.below(others.length)]!)
    await clock.advance(20)
  }
  const bypasses = fleet.lines.filter(({ message }) => message === 'bypasses an unresponsive broker').length
  t.log({ bypasses, asked: waits.length, waited: waits.filter(wait => wait > 2 * BROKER_DELAY).length })
  t.true(bypasses <= 3 * DAEMONS)
})
