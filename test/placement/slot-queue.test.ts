import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import { SlotQueue } from '../../src/placement/slot-queue.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const SLOTS = 8
const HOLD_TIME = 800
const TARGET = 300
/** What a first event takes once its request is sent, ms. */
const FIRST_EVENT = 100
/** After this without a first event a caller leaves, ms. */
const CALLER_TIMEOUT = 2_000

interface Outcome { readonly late: boolean, readonly begunAfter?: number, readonly refused?: boolean }

interface Crowd {
  readonly servers: number
  /** Callers that come at once, having met nobody 700 ms ago. */
  readonly returning: number
  /** Whether the time that those have left tells so. */
  readonly isRetryKnown: boolean
  /** New requests a second: in the wave, for `waveFor` ms, and behind it. */
  readonly waveRate: number
  readonly waveFor: number
  readonly troughRate: number
}

async function play ({ servers, returning, isRetryKnown, waveRate, waveFor, troughRate }: Crowd): Promise<readonly Outcome[]> {
  const clock = new VirtualClock()
  const random = new Random(4)
  const running = new Map<string, number>(Array.from({ length: servers }, (_, i) => [`s${i}`, 0]))
  const listCandidates = () => [...running].map(([server, online]) => ({ server, failureDomain: 'a', slots: SLOTS, online, batch: 0, ownBatch: 0 }))
  const queue = new SlotQueue({ listCandidates, getHoldTime: () => HOLD_TIME, clock, random, metrics: new Metrics() })
  const seen: Outcome[] = []
  const ask = (late: boolean): void => {
    const arrived = clock.now()
    const since = late ? 700 : 0
    queue.request({
      pool: 'p',
      avoided: [],
      arrived,
      asked: arrived - (isRetryKnown ? since : 0),
      deadline: arrived + 5_000 - since,
      beginBy: arrived + CALLER_TIMEOUT - FIRST_EVENT,
      target: TARGET,
      priority: 0,
      returning: late,
      signal: new AbortController().signal,
      start: server => {
        seen.push({ late, begunAfter: clock.now() - arrived })
        running.set(server, running.get(server)! + 1)
        clock.after(HOLD_TIME - 200 + random.below(400), () => {
          running.set(server, running.get(server)! - 1)
          queue.grantAll()
        })
      },
      refuse: () => seen.push({ late, refused: true })
    })
  }
  await clock.advance(3_000)
  for (let ms = 0; ms < 5_000; ms += 10) {
    if (ms < 200) for (let n = 0; n < returning / 20; n++) ask(true)
    if (random.below(1_000) < (ms < waveFor ? waveRate : troughRate) * 10) ask(false)
    await clock.advance(10)
  }
  await clock.advance(5_000)
  return seen
}

function countInTime (seen: readonly Outcome[]): number {
  return seen.filter(({ late, begunAfter }) => !late && begunAfter !== undefined && begunAfter <= TARGET - FIRST_EVENT).length
}

// All daemons ended and are back in the middle of a wave: 60 callers that met nobody come again within 200 ms, late already, beside new
// ones that take nine in ten of all slots for 1.4 s more. Given every slot, the late ones made the new ones late too. Now those
// are served in time, and each late one before its time ends.
test('a crowd behind an end of all daemons: new requests are in time, and all late ones are served', async t => {
  const crowd: Crowd = { servers: 8, returning: 60, isRetryKnown: true, waveRate: 72, waveFor: 1_400, troughRate: 15 }
  const [before, after] = [await play({ ...crowd, isRetryKnown: false }), await play(crowd)]
  const fresh = after.filter(({ late }) => !late).length
  t.log({ fresh, before: countInTime(before), after: countInTime(after), refusedBefore: before.filter(({ refused }) => refused).length, refusedAfter: after.filter(({ refused }) => refused).length })
  t.true(countInTime(after) >= 0.9 * fresh)
  t.true(countInTime(before) < countInTime(after))
  t.is(after.filter(({ late, refused }) => late && refused).length, 0)
  t.true(after.every(({ begunAfter = 0 }) => begunAfter <= CALLER_TIMEOUT - FIRST_EVENT))
})

/** What became of the requests of an overload in which each refused caller comes again once, when it is told to. */
async function overload (times: number): Promise<{ readonly inTime: number, readonly late: number, readonly lost: number, readonly heldLong: number, readonly capacity: number }> {
  const LASTS = 10_000
  const clock = new VirtualClock()
  const random = new Random(9)
  const running = new Map<string, number>(Array.from({ length: 8 }, (_, i) => [`s${i}`, 0]))
  const listCandidates = () => [...running].map(([server, online]) => ({ server, failureDomain: 'a', slots: SLOTS, online, batch: 0, ownBatch: 0 }))
  const queue = new SlotQueue({ listCandidates, getHoldTime: () => HOLD_TIME, clock, random, metrics: new Metrics() })
  const counts = { inTime: 0, late: 0, lost: 0, heldLong: 0 }
  const ask = (first: number, returning: boolean): void => {
    const arrived = clock.now()
    const abort = new AbortController()
    const deadline = first + 5_000
    const stop = clock.after(deadline - arrived, () => abort.abort())
    queue.request({
      pool: 'p',
      avoided: [],
      arrived,
      asked: first,
      deadline,
      beginBy: arrived + CALLER_TIMEOUT - FIRST_EVENT,
      target: TARGET,
      priority: 0,
      returning,
      signal: abort.signal,
      start: server => {
        stop()
        if (clock.now() - arrived <= TARGET - FIRST_EVENT) counts.inTime++
        else counts.late++
        running.set(server, running.get(server)! + 1)
        clock.after(HOLD_TIME - 200 + random.below(400), () => {
          running.set(server, running.get(server)! - 1)
          queue.grantAll()
        })
      },
      refuse: ({ retryAfter }) => {
        stop()
        if (abort.signal.aborted) counts.heldLong++
        if (returning || abort.signal.aborted) counts.lost++
        else clock.after(Math.min(retryAfter, (deadline - clock.now()) / 3), () => ask(first, true))
      }
    })
  }
  const capacity = 8 * SLOTS * 1_000 / HOLD_TIME
  for (let ms = 0; ms < LASTS; ms += 5) {
    if (random.below(100_000) < times * capacity * 500) ask(clock.now(), false)
    await clock.advance(5)
  }
  await clock.advance(6_000)
  return { ...counts, capacity: capacity * LASTS / 1_000 }
}

// Demand is 1.5, 2 and 3 times what the slots carry, for ten seconds. Callers whom nobody can serve in time are told so at once and come
// again once; nobody waits until its time is over, and the slots go on serving what can be in time.
for (const times of [1.5, 2, 3]) {
  test(`an overload of ${times} that lasts: nine in ten of what the slots carry is served in time`, async t => {
    const seen = await overload(times)
    t.log(seen)
    t.true(seen.inTime >= 0.9 * seen.capacity)
    t.is(seen.heldLong, 0)
  })
}

// Daemons short of processor time: every request has used up its target before it reaches the queue, and keeps its slot for long, but slots
// stay free. Held back for the sake of requests in time, of which there are none, they waited until their callers were about to leave.
test('where slots stay free late requests begin at once', async t => {
  const clock = new VirtualClock()
  const running = new Map<string, number>([['s0', 0], ['s1', 0]])
  const listCandidates = () => [...running].map(([server, online]) => ({ server, failureDomain: 'a', slots: SLOTS, online, batch: 0, ownBatch: 0 }))
  const queue = new SlotQueue({ listCandidates, getHoldTime: () => 3_000, clock, random: new Random(2), metrics: new Metrics() })
  const waits: number[] = []
  for (let ms = 0; ms < 20_000; ms += 200) {
    const arrived = clock.now() - (ms % 1_000 === 0 ? 0 : 400)
    const came = clock.now()
    queue.request({
      pool: 'p',
      avoided: [],
      arrived,
      asked: arrived,
      deadline: arrived + 5_000,
      beginBy: arrived + CALLER_TIMEOUT - FIRST_EVENT,
      target: TARGET,
      priority: 0,
      returning: false,
      signal: new AbortController().signal,
      start: server => {
        waits.push(clock.now() - came)
        running.set(server, running.get(server)! + 1)
        clock.after(2_000, () => {
          running.set(server, running.get(server)! - 1)
          queue.grantAll()
        })
      },
      refuse: () => waits.push(Infinity)
    })
    await clock.advance(200)
  }
  t.is(waits.length, 100)
  t.true(waits.slice(10).every(wait => wait <= 100), JSON.stringify(waits))
})
