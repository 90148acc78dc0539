import 'reflect-metadata'
import test from 'ava'
import type { Route } from '../../src/config/route.js'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { PlacementRequest } from '../../src/placement/placement-request.js'
import { SlotQueue } from '../../src/placement/slot-queue.js'
import { SlotSearch } from '../../src/routing/slot-search.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const SLOTS = 16
const HOLD_TIME = 400 // ms
const TARGET = 300 // ms
/** How long callers of a stream wait for its next event, ms. */
const SILENCE = 2_000
/** Requests that arrive, as a multiple of what the slots can run. */
const OVERLOADS = [0.9, 1.5, 3]

const route: Route = { host: 'h', pathPrefix: '/', services: [], streamed: true, idempotent: true, resumable: true, attempts: 2, timeout: 10_000, target: TARGET, silence: SILENCE, priority: 0 }

/** Lets requests arrive evenly, and returns how long a stream waits for a slot that lost its server 1.5 s after it arrived, ms. */
async function measureWait (overload: number): Promise<number> {
  const clock = new VirtualClock()
  const random = new Random(3)
  let online = 0
  const queue = new SlotQueue({ listCandidates: () => [{ server: 's', failureDomain: 'a', version: '', slots: SLOTS, online, batch: 0, ownBatch: 0 }], getHoldTime: () => HOLD_TIME, clock, random, metrics: new Metrics() })
  const run = (): void => {
    online++
    clock.after(HOLD_TIME, () => {
      online--
      queue.grantAll()
    })
  }
  const arrive = (): void => {
    const now = clock.now()
    queue.request({ pool: 'p', avoided: [], arrived: now, asked: now, deadline: now + 10_000, beginBy: now + SILENCE, target: TARGET, priority: 0, returning: false, repeatable: true, signal: new AbortController().signal, start: run, refuse: () => {} })
  }
  clock.every(HOLD_TIME / SLOTS / overload, arrive)
  await clock.advance(3_000)
  const arrived = clock.now() - 1_500
  const options = {
    request: { id: 'r', route, priority: 0, method: 'POST', path: '/', headers: {}, arrived, asked: arrived, deadline: arrived + 10_000, signal: new AbortController().signal },
    tools: { clock, random, queue: { request: (asked: PlacementRequest) => queue.request(asked) } },
    refuseLate: () => undefined,
    origin: { findVersion: () => undefined, mayBeginAt: () => true, findLack: () => undefined, findMismatch: () => undefined },
    gate: { wait: async () => undefined, check: () => undefined },
    signal: new AbortController().signal,
    refuse: () => { throw new Error('a stream that has begun was refused') },
    open: async () => { run() }
  } as unknown as ConstructorParameters<typeof SlotSearch>[0]
  const search = new SlotSearch(options)
  const since = clock.now()
  let wait = Infinity
  const find = async (): Promise<void> => {
    for (;;) {
      if (await search.wait({ service: 'p', tried: ['lost'], progressAt: since, mayRetry: true }) !== undefined) break
    }
    wait = clock.now() - since
  }
  void find()
  for (let n = 0; n < 600; n++) await clock.advance(10)
  return wait
}

for (const overload of OVERLOADS) {
  // Guards against a stream that has begun and waits behind all new requests until its caller leaves.
  test(`a stream that lost its server goes on before its caller leaves, at ${overload} times the capacity`, async t => {
    const wait = await measureWait(overload)
    t.log({ wait: Math.round(wait) })
    t.true(wait < SILENCE)
  })
}
