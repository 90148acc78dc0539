import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import { SlotQueue } from '../../src/placement/slot-queue.js'
import { VirtualClock } from './virtual-clock.js'

const SERVERS = 7
const SLOTS = 7
const HOLD_TIME = 900
const TARGET = 300
const CALLER_TIMEOUT = 5_000
/** Time that an answer takes to reach its caller, ms. */
const MARGIN = 200
/** Share of the callers that make one attempt only. */
const SINGLE = 0.1
/** Length of a step, ms. */
const STEP = 5

interface OverloadOptions {
  readonly seed: number
  /** Length of the overload, ms. */
  readonly length: number
  /** Returns the requests at a time, as a multiple of what the slots can run. */
  readonly load: (ms: number) => number
  /** Longest delay that a refused caller honours, as a share of the time that it has left. */
  readonly longestDelay?: number
  /** Time without an event after which a caller leaves, ms. */
  readonly silence?: number
}

interface OverloadResult {
  /** Requests of callers that make one attempt, and of all. */
  readonly asked: { single: number, all: number }
  readonly served: { single: number, all: number }
}

/** Slots that become free in a second. */
const SLOTS_PER_SECOND = SERVERS * SLOTS * 1_000 / HOLD_TIME

/** Runs callers against too few slots. Of ten callers nine retry once, when they were told to, but after the longest delay that they honour at most. */
export async function replayOverload ({ seed, length, load, longestDelay = 1 / 3, silence = 2_000 }: OverloadOptions): Promise<OverloadResult> {
  const clock = new VirtualClock()
  const random = new Random(seed)
  const running = Array.from({ length: SERVERS }, () => 0)
  const listCandidates = () => running.map((online, i) => ({ server: `s${i}`, failureDomain: 'a', version: '', slots: SLOTS, online, batch: 0, ownBatch: 0 }))
  const queue = new SlotQueue({ listCandidates, getHoldTime: () => HOLD_TIME, clock, random, metrics: new Metrics() })
  const result: OverloadResult = { asked: { single: 0, all: 0 }, served: { single: 0, all: 0 } }
  const submit = ({ single, attempt, since }: { readonly single: boolean, readonly attempt: number, readonly since: number }): void => {
    const arrived = clock.now()
    queue.request({
      pool: 'p',
      avoided: [],
      arrived,
      asked: since,
      deadline: since + CALLER_TIMEOUT,
      beginBy: Math.min(arrived + silence, since + CALLER_TIMEOUT) - MARGIN,
      target: TARGET,
      priority: 0,
      returning: attempt > 1,
      repeatable: true,
      signal: new AbortController().signal,
      start: server => {
        const index = Number(server.slice(1))
        running[index]!++
        result.served.all++
        if (single) result.served.single++
        clock.after(HOLD_TIME - 200 + random.below(400), () => {
          running[index]!--
          queue.grantAll()
        })
      },
      refuse: ({ retryAfter }) => {
        if (single || attempt > 1) return
        clock.after(Math.min(retryAfter, (since + CALLER_TIMEOUT - clock.now()) * longestDelay), () => submit({ single, attempt: 2, since }))
      }
    })
  }
  for (let ms = 0; ms < length; ms += STEP) {
    if (random.below(1_000_000) < SLOTS_PER_SECOND * load(ms) * STEP * 1_000) {
      const single = random.below(100) < SINGLE * 100
      result.asked.all++
      if (single) result.asked.single++
      submit({ single, attempt: 1, since: clock.now() })
    }
    await clock.advance(STEP)
  }
  await clock.advance(CALLER_TIMEOUT)
  return result
}
