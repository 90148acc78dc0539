import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import { SlotQueue } from '../../src/placement/slot-queue.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const SLOTS = 8
const HOLD_TIME = 800
const TARGET = 300
/** Time from the start of a request to its first event, ms. */
const FIRST_EVENT = 100
/** Caller's timeout for the first event, ms. */
const CALLER_TIMEOUT = 2_000

interface Outcome { readonly late: boolean, readonly startedAfter?: number, readonly refused?: boolean }

interface Scenario {
  readonly servers: number
  /** Callers that retry within 200 ms, 700 ms after a first attempt that reached no daemon. */
  readonly returning: number
  /** Whether their requests state the time of the first attempt. */
  readonly isRetryKnown: boolean
  /** New requests a second: during the wave, which lasts `waveFor` ms, and after it. */
  readonly waveRate: number
  readonly waveFor: number
  readonly troughRate: number
}

async function simulate ({ servers, returning, isRetryKnown, waveRate, waveFor, troughRate }: Scenario): Promise<readonly Outcome[]> {
  const clock = new VirtualClock()
  const random = new Random(4)
  const running = new Map<string, number>(Array.from({ length: servers }, (_, i) => [`s${i}`, 0]))
  const listCandidates = () => [...running].map(([server, online]) => ({ server, failureDomain: 'a', version: '', slots: SLOTS, online, batch: 0, ownBatch: 0 }))
  const queue = new SlotQueue({ listCandidates, getHoldTime: () => HOLD_TIME, clock, random, metrics: new Metrics() })
  const outcomes: Outcome[] = []
  const submit = (late: boolean): void => {
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
      repeatable: false,
      signal: new AbortController().signal,
      start: server => {
        outcomes.push({ late, startedAfter: clock.now() - arrived })
        running.set(server, running.get(server)! + 1)
        clock.after(HOLD_TIME - 200 + random.below(400), () => {
          running.set(server, running.get(server)! - 1)
          queue.grantAll()
        })
      },
      refuse: () => outcomes.push({ late, refused: true })
    })
  }
  await clock.advance(3_000)
  for (let ms = 0; ms < 5_000; ms += 10) {
    if (ms < 200) for (let n = 0; n < returning / 20; n++) submit(true)
    if (random.below(1_000) < (ms < waveFor ? waveRate : troughRate) * 10) submit(false)
    await clock.advance(10)
  }
  await clock.advance(5_000)
  return outcomes
}

function countInTime (outcomes: readonly Outcome[]): number {
  return outcomes.filter(({ late, startedAfter }) => !late && startedAfter !== undefined && startedAfter <= TARGET - FIRST_EVENT).length
}

// Guards against late retries that take every slot after a restart of all daemons under load and make new requests late as well.
test('after a restart of all daemons new requests are in time, and all late ones are served', async t => {
  const scenario: Scenario = { servers: 8, returning: 60, isRetryKnown: true, waveRate: 72, waveFor: 1_400, troughRate: 15 }
  const [before, after] = [await simulate({ ...scenario, isRetryKnown: false }), await simulate(scenario)]
  const fresh = after.filter(({ late }) => !late).length
  t.log({ fresh, before: countInTime(before), after: countInTime(after), refusedBefore: before.filter(({ refused }) => refused).length, refusedAfter: after.filter(({ refused }) => refused).length })
  t.true(countInTime(after) >= 0.9 * fresh)
  t.true(countInTime(before) < countInTime(after))
  t.is(after.filter(({ late, refused }) => late && refused).length, 0)
  t.true(after.every(({ startedAfter = 0 }) => startedAfter <= CALLER_TIMEOUT - FIRST_EVENT))
})

/** Simulates an overload in which each refused caller retries once, after the delay that it was given. */
async function simulateOverload (times: number): Promise<{ readonly inTime: number, readonly late: number, readonly lost: number, readonly heldLong: number, readonly capacity: number }> {
  const LASTS = 10_000
  const clock = new VirtualClock()
  const random = new Random(9)
  const running = new Map<string, number>(Array.from({ length: 8 }, (_, i) => [`s${i}`, 0]))
  const listCandidates = () => [...running].map(([server, online]) => ({ server, failureDomain: 'a', version: '', slots: SLOTS, online, batch: 0, ownBatch: 0 }))
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
      repeatable: false,
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

// Guards against an overload of ten seconds in which slots go to late requests, or callers wait until their deadline.
for (const times of [1.5, 2, 3]) {
  test(`a sustained overload of ${times} times the capacity: nine in ten slots serve requests in time`, async t => {
    const counts = await simulateOverload(times)
    t.log(counts)
    t.true(counts.inTime >= 0.9 * counts.capacity)
    t.is(counts.heldLong, 0)
  })
}

// Guards against late requests that are held back for on-time requests that never come, as with daemons short of processor time.
test('late requests start at once while slots stay free', async t => {
  const clock = new VirtualClock()
  const running = new Map<string, number>([['s0', 0], ['s1', 0]])
  const listCandidates = () => [...running].map(([server, online]) => ({ server, failureDomain: 'a', version: '', slots: SLOTS, online, batch: 0, ownBatch: 0 }))
  const queue = new SlotQueue({ listCandidates, getHoldTime: () => 3_000, clock, random: new Random(2), metrics: new Metrics() })
  const waits: number[] = []
  for (let ms = 0; ms < 20_000; ms += 200) {
    const arrived = clock.now() - (ms % 1_000 === 0 ? 0 : 400)
    const submittedAt = clock.now()
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
      repeatable: false,
      signal: new AbortController().signal,
      start: server => {
        waits.push(clock.now() - submittedAt)
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

// Guards against a request that is sent again to the silent server which it waits to leave, and against others that wait behind it.
test('a request isn\'t granted a slot of the server that is excluded, and those after it are', t => {
  const clock = new VirtualClock()
  const free = new Map([['s0', 1], ['s1', 0]])
  const listCandidates = () => [...free].map(([server, slots]) => ({ server, failureDomain: 'a', version: '', slots, online: 0, batch: 0, ownBatch: 0 }))
  const queue = new SlotQueue({ listCandidates, getHoldTime: () => HOLD_TIME, clock, random: new Random(1), metrics: new Metrics() })
  const started: string[] = []
  const submit = (name: string, excluded?: string): void => queue.request({ pool: 'p', avoided: [], excluded, arrived: 0, asked: 0, deadline: 10_000, beginBy: 10_000, target: TARGET, priority: 0, returning: true, repeatable: true, signal: new AbortController().signal, refuse: () => started.push(`${name} refused`), start: server => { started.push(`${name} ${server}`); free.set(server, 0) } })
  submit('leaving', 's0')
  submit('other')
  queue.grantAll()
  t.deepEqual(started, ['other s0'])
  free.set('s1', 1)
  queue.grantAll()
  t.deepEqual(started, ['other s0', 'leaving s1'])
})
