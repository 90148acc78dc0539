import 'reflect-metadata'
import test from 'ava'
import { listLarge } from '../../src/peers/list-large.js'
import { SlotFleet } from '../helpers/slot-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// Guards against slots granted by daemons with little processor time, which fall behind in a wave and are bypassed by all others.
test('daemons with much processor time grant the slots, and others only if all of those are unresponsive', async t => {
  const clock = new VirtualClock()
  const large = new Set(['d3', 'd17'])
  const fleet = new SlotFleet({ daemons: 40, servers: 48, slots: 7, clock, cores: name => large.has(name) ? 1.35 : 0.324 })
  await fleet.start()
  const asked = new Set<string>()
  const ask = async (): Promise<void> => {
    fleet.onDeliver = (to, { type }) => { if (type === 'slot ask') asked.add(to) }
    for (let n = 0; n < 40; n++) fleet.ask(`d${n}`, { start: server => { clock.after(100, fleet.begin(`d${n}`, server, 'online')) } })
    await clock.advance(1_000)
  }
  await ask()
  t.deepEqual([...asked].filter(name => !large.has(name)), [])
  for (const name of large) fleet.kill(name)
  // Notices that both are unresponsive.
  await ask()
  asked.clear()
  await ask()
  t.true([...asked].some(name => !large.has(name)))
})

test('members with at least half of the largest processor time are large; without any known, all are', t => {
  const list = (...cores: readonly number[]): readonly string[] => listLarge(cores.map((value, n) => ({ name: `d${n}`, cores: value })))
  t.deepEqual(list(1.35, 0.324, 0.675, 0), ['d0', 'd2'])
  t.deepEqual(list(0.675, 0.675), ['d0', 'd1'])
  t.deepEqual(list(0, 0), ['d0', 'd1'])
})
