import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { slotGroups } from '../../src/placement/slot-groups.js'
import { SlotFleet } from '../helpers/slot-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

interface Outcome { readonly waited: number, readonly server?: string, readonly cause?: string }

/** A request of a daemon that keeps its slot for `stay` ms. */
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
    signal,
    start: server => {
      const end = fleet.begin(daemon, server, 'online')
      clock.after(holdTime, end)
      outcomes.push({ waited: clock.now() - arrived, server })
    },
    refuse: ({ cause }) => outcomes.push({ waited: clock.now() - arrived, cause })
  })
}

// 71 daemons before 42 servers of 7 slots, and a burst that fills nine in ten of all slots. By told counts that were 100 ms old each
// burst brought more to some servers than they have slots for, and what was too much waited in engines that know no order.
test('a burst over many daemons: no server gets more than it has slots', async t => {
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

// Batch fills what is idle. Online requests come: each is given a slot at once, and as many items are told to stop as there are
// too many, no more, wherever they run.
test('batch is given idle slots and gives back as many as are needed', async t => {
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
    for (const { client } of fleet.daemons.values()) client.askBatch('p', { count: 4, due: clock.now() + 9_000, remaining: 1_000 })
    await clock.advance(20)
  }
  t.is(ends.length, 6 * 6)
  const outcomes: Outcome[] = []
  for (let n = 0; n < 16; n++) ask(fleet, clock, `d${n}`, 400, outcomes)
  await clock.advance(50)
  t.is(outcomes.filter(({ server }) => server !== undefined).length, 16)
  t.is(revoked, 10)
  t.true([...fleet.running.values()].every(({ online, batch }) => online + batch <= 7))
})

// The broker of the only group ends. Its daemons get no answer for a tenth of a second and ask the next in rank, long before
// membership says that the broker ended; that one learns from their rows what is taken.
test('a broker that ended costs a tenth of a second, and its successor knows what is taken', async t => {
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

// The broker ends in a wave that takes nine in ten slots, and membership finds that out only after 2.5 s. Where every daemon placed
// by itself meanwhile, by what it had in flight alone, most servers got more than they have slots for, and what was too much waited
// in engines in no order of ours.
test('a broker that ends in a wave: the servers keep to their slots until membership names another', async t => {
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

// A daemon that has most slots is killed and is back soon. Its servers are free again; requests of others must get them at once
// and not be refused until what it had is forgotten.
test('the slots of a daemon that started anew are free at once', async t => {
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

// Callers leave while their requests wait at the broker. Nothing of them may stay there: a daemon serves for months.
test('a request whose caller has left leaves nothing behind', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 3, servers: 1, slots: 20, clock })
  await fleet.start()
  const broker = fleet.daemons.get(slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!)!.broker
  const gone = new AbortController()
  const outcomes: Outcome[] = []
  for (let n = 0; n < 22; n++) ask(fleet, clock, `d${n % 3}`, 150, outcomes, gone.signal)
  await clock.advance(10)
  t.is(broker.waitingCount, 2)
  gone.abort()
  await clock.advance(10)
  t.is(broker.waitingCount, 0)
})

// Every slot is taken, and two daemons want one for batch: the first has much time, the other's item is due soon. Slots come free, and the
// first is the next to ask: the urgent one gets what there is.
test('a slot that comes free goes to the daemon whose item is due first', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 4, servers: 1, slots: 4, clock })
  await fleet.start()
  const granted: string[] = []
  for (const [daemon, { client }] of fleet.daemons) client.subscribe({ onGrant: () => granted.push(daemon), onRevoke: () => {} })
  const ends = Array.from({ length: 4 }, () => fleet.begin('d0', 's0', 'online'))
  await clock.advance(1_100)
  fleet.daemons.get('d1')!.client.askBatch('p', { count: 4, due: clock.now() + 15_000, remaining: 1_000 })
  await clock.advance(10)
  fleet.daemons.get('d2')!.client.askBatch('p', { count: 4, due: clock.now() + 3_000, remaining: 1_000 })
  await clock.advance(10)
  t.deepEqual(granted, [])
  for (const end of ends.slice(0, 2)) end()
  await clock.advance(20)
  fleet.daemons.get('d1')!.client.askBatch('p', { count: 4, due: clock.now() + 15_000, remaining: 1_000 })
  await clock.advance(10)
  t.is(granted[0], 'd2')
  t.true(granted.every(daemon => daemon === 'd2'))
})

// A daemon that runs items on half of the slots is gone without a word: no power. The engines go on with them, and nobody can stop them.
// Online requests come, are given some of those slots and tell the dead daemon to give way; from a tenth of a second on they get
// slots of the other daemon's items instead.
test('items of a daemon that is gone without a word give way to nobody', async t => {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 5, servers: 4, slots: 8, clock })
  await fleet.start()
  const broker = slotGroups.findBroker('p', 0, [...fleet.daemons.keys()])!
  const [gone, other, requester] = [...fleet.daemons.keys()].filter(name => name !== broker) as [string, string, string]
  const ends = new Map<string, Array<() => void>>()
  for (const daemon of [gone, other]) {
    for (let n = 0; n < 16; n++) {
      const server = `s${n % 4}`
      ends.set(`${daemon} ${server}`, [...ends.get(`${daemon} ${server}`) ?? [], fleet.begin(daemon, server, 'batch')])
    }
    fleet.daemons.get(daemon)!.client.subscribe({ onGrant: () => {}, onRevoke: server => ends.get(`${daemon} ${server}`)!.pop()?.() })
  }
  await clock.advance(1_100)
  fleet.kill(gone)
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
