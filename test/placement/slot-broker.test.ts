import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { slotGroups } from '../../src/placement/slot-groups.js'
import { SlotFleet } from '../helpers/slot-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

interface Outcome { readonly waited: number, readonly server?: string, readonly cause?: string }

/** Sends a request of a daemon that holds its slot for `holdTime` ms. */
function ask (fleet: SlotFleet, clock: VirtualClock, daemon: string, holdTime: number, outcomes: Outcome[], signal = new AbortController().signal): void {
  const arrived = clock.now()
  fleet.daemons.get(daemon)!.queue.request({
    pool: 'p',
    avoided: [],
    arrived,
    deadline: arrived + 5_000,
    beginBy: Infinity,
    target: 300,
    priority: 0,
    asked: arrived,
    returning: false,
    repeatable: false,
    signal,
    start: server => {
      const end = fleet.begin(daemon, server, 'online')
      clock.after(holdTime, end)
      outcomes.push({ waited: clock.now() - arrived, server })
    },
    refuse: ({ cause }) => outcomes.push({ waited: clock.now() - arrived, cause })
  })
}

// Guards against servers that are overcommitted in a burst, because many daemons place requests by outdated counts.
test('in a burst over many daemons no server exceeds its slots', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 71, servers: 42, slots: 7, clock })
  await fleet.start()
  const random = new Random(3)
  const outcomes: Outcome[] = []
  fleet.messages = 0
  for (let ms = 0; ms < 4_000; ms += 10) {
    for (let n = 0; n < 4; n++) ask(fleet, clock, `d${random.below(71)}`, 500 + random.below(300), outcomes)
    await clock.advance(10)
  }
  await clock.advance(2_000)
  const served = outcomes.filter(({ server }) => server !== undefined)
  t.log({ asked: 1_600, served: served.length, messages: fleet.messages, most: Math.max(...[...fleet.running.values()].map(({ most }) => most)) })
  t.is(outcomes.length, 1_600)
  t.true(served.length >= 1_550)
  t.true(served.filter(({ waited }) => waited < 200).length >= 1_500)
  t.true([...fleet.running.values()].every(({ most, online }) => most <= 7 && online === 0))
  t.true(fleet.messages <= 4 * 1_600 + 71 * 3 * 6)
})

// Guards against online requests that wait behind batch, and against more preemptions than needed.
test('batch gets idle slots and is preempted for as many as online requests need', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 20, servers: 6, slots: 7, clock })
  await fleet.start()
  const ends: Array<{ readonly daemon: string, readonly server: string, readonly end: () => void }> = []
  let revoked = 0
  for (const [daemon, { client }] of fleet.daemons) {
    client.subscribe({
      onGrant: (_pool, server) => ends.push({ daemon, server, end: fleet.begin(daemon, server, 'batch') }),
      onRevoke: server => {
        revoked++
        const index = ends.findIndex(item => item.daemon === daemon && item.server === server)
        if (index >= 0) ends.splice(index, 1)[0]!.end()
      }
    })
  }
  for (let round = 0; round < 10; round++) {
    for (const { client } of fleet.daemons.values()) client.requestBatchSlots('p', { count: 4, due: clock.now() + 9_000, remaining: 1_000 })
    await clock.advance(20)
  }
  // All slots but the headroom of a quarter of the servers.
  t.is(ends.length, 6 * 7 - 2)
  const outcomes: Outcome[] = []
  for (let n = 0; n < 16; n++) ask(fleet, clock, `d${n}`, 400, outcomes)
  await clock.advance(50)
  t.is(outcomes.filter(({ server }) => server !== undefined).length, 16)
  t.is(revoked, 16 - 2)
  t.true([...fleet.running.values()].every(({ online, batch }) => online + batch <= 7))
})

// Guards against requests that wait for membership to detect a failed broker, and against a successor without counts.
test('a failed broker delays requests by a tenth of a second, and its successor has the counts', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 20, servers: 6, slots: 7, clock })
  await fleet.start()
  const outcomes: Outcome[] = []
  const broker = slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!
  const others = [...fleet.daemons.keys()].filter(name => name !== broker)
  for (const name of others) ask(fleet, clock, name, 6_000, outcomes)
  await clock.advance(100)
  fleet.kill(broker)
  const alone: Outcome[] = []
  for (let n = 0; n < 5; n++) ask(fleet, clock, others[n]!, 100, alone)
  await clock.advance(150)
  t.is(alone.filter(({ server, waited }) => server !== undefined && waited <= 110).length, 5)
  const soon: Outcome[] = []
  for (let n = 0; n < 5; n++) ask(fleet, clock, others[n]!, 100, soon)
  await clock.advance(10)
  t.is(soon.filter(({ server, waited }) => server !== undefined && waited <= 2).length, 5)
  t.true([...fleet.running.values()].every(({ most }) => most <= 7))
  await clock.advance(110)
  fleet.detectDead()
  await clock.advance(1_200)
  for (const running of fleet.running.values()) running.most = 0
  const after: Outcome[] = []
  for (let n = 0; n < 19; n++) ask(fleet, clock, others[n % others.length]!, 3_000, after)
  await clock.advance(100)
  t.is(after.filter(({ server }) => server !== undefined).length, 19)
  t.true([...fleet.running.values()].every(({ most }) => most <= 7))
})

// Guards against daemons that overcommit servers by local selection until membership detects a broker's failure 2.5 s later.
test('servers stay within their slots while a broker that failed under load is undetected', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 6, servers: 8, slots: 8, clock })
  await fleet.start()
  const random = new Random(5)
  const broker = slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!
  const others = [...fleet.daemons.keys()].filter(name => name !== broker)
  const outcomes: Outcome[] = []
  const over: number[] = []
  for (let ms = 0; ms < 3_000; ms += 10) {
    if (ms === 500) fleet.kill(broker)
    if (ms === 3_000) fleet.detectDead()
    if (random.below(100) < 72) ask(fleet, clock, others[random.below(5)]!, 600 + random.below(400), outcomes)
    await clock.advance(10)
    if (ms > 800) over.push([...fleet.running.values()].reduce((sum, { online }) => sum + Math.max(0, online - 8), 0))
  }
  const served = outcomes.filter(({ server }) => server !== undefined)
  t.log({ served: served.length, asked: outcomes.length, over: Math.max(...over) })
  t.true(over.every(n => n <= 1))
  t.true(served.filter(({ waited }) => waited <= 110).length >= 0.95 * outcomes.length)
})

// Guards against requests that are refused because the slots of a restarted daemon still count as taken.
test('the slots of a restarted daemon are free at once', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 5, servers: 2, slots: 7, clock })
  await fleet.start()
  const broker = slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!
  const [killed, other] = [...fleet.daemons.keys()].filter(name => name !== broker) as [string, string]
  const held: Outcome[] = []
  for (let n = 0; n < 14; n++) ask(fleet, clock, killed, 60_000, held)
  await clock.advance(1_500)
  t.is(held.filter(({ server }) => server !== undefined).length, 14)
  fleet.restart(killed)
  const outcomes: Outcome[] = []
  for (let n = 0; n < 14; n++) ask(fleet, clock, other, 100, outcomes)
  await clock.advance(10)
  t.is(outcomes.filter(({ server }) => server !== undefined).length, 14)
})

// Guards against a leak of waiting requests whose callers have disconnected.
test('the broker removes waiting requests of disconnected callers', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 3, servers: 1, slots: 20, clock })
  await fleet.start()
  const broker = fleet.daemons.get(slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!)!.broker
  const disconnected = new AbortController()
  const outcomes: Outcome[] = []
  for (let n = 0; n < 22; n++) ask(fleet, clock, `d${n % 3}`, 150, outcomes, disconnected.signal)
  await clock.advance(10)
  t.is(broker.waitingCount, 2)
  disconnected.abort()
  await clock.advance(10)
  t.is(broker.waitingCount, 0)
})

// Guards against slots that go to the next daemon to ask, ahead of an item that is due sooner.
test('a free slot goes to the daemon whose item is due first', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 4, servers: 1, slots: 4, clock })
  await fleet.start()
  const granted: string[] = []
  for (const [daemon, { client }] of fleet.daemons) client.subscribe({ onGrant: () => granted.push(daemon), onRevoke: () => {} })
  const ends = Array.from({ length: 4 }, () => fleet.begin('d0', 's0', 'online'))
  await clock.advance(1_100)
  fleet.daemons.get('d1')!.client.requestBatchSlots('p', { count: 4, due: clock.now() + 15_000, remaining: 1_000 })
  await clock.advance(10)
  fleet.daemons.get('d2')!.client.requestBatchSlots('p', { count: 4, due: clock.now() + 3_000, remaining: 1_000 })
  await clock.advance(10)
  t.deepEqual(granted, [])
  for (const end of ends.slice(0, 2)) end()
  await clock.advance(20)
  fleet.daemons.get('d1')!.client.requestBatchSlots('p', { count: 4, due: clock.now() + 15_000, remaining: 1_000 })
  await clock.advance(10)
  t.is(granted[0], 'd2')
  t.true(granted.every(daemon => daemon === 'd2'))
})

// Guards against requests that are granted slots of items which run on in the engines after their daemon has crashed.
test('items of an unresponsive daemon are not preempted after a tenth of a second', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 5, servers: 4, slots: 8, clock })
  await fleet.start()
  const broker = slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!
  const [crashed, other, requester] = [...fleet.daemons.keys()].filter(name => name !== broker) as [string, string, string]
  const ends = new Map<string, Array<() => void>>()
  for (const daemon of [crashed, other]) {
    for (let n = 0; n < 16; n++) {
      const server = `s${n % 4}`
      ends.set(`${daemon} ${server}`, [...ends.get(`${daemon} ${server}`) ?? [], fleet.begin(daemon, server, 'batch')])
    }
    fleet.daemons.get(daemon)!.client.subscribe({ onGrant: () => {}, onRevoke: server => ends.get(`${daemon} ${server}`)!.pop()?.() })
  }
  await clock.advance(1_100)
  fleet.kill(crashed)
  const first: Outcome[] = []
  for (let n = 0; n < 4; n++) ask(fleet, clock, requester, 600, first)
  await clock.advance(120)
  for (const running of fleet.running.values()) running.most = 0
  const outcomes: Outcome[] = []
  for (let n = 0; n < 6; n++) ask(fleet, clock, requester, 600, outcomes)
  await clock.advance(50)
  t.is(outcomes.filter(({ server }) => server !== undefined).length, 6)
  t.true([...fleet.running.values()].every(({ most }) => most <= 9), JSON.stringify([...fleet.running]))
  t.true([...fleet.running.values()].every(({ online, batch }) => online + batch <= 8), JSON.stringify([...fleet.running]))
})
