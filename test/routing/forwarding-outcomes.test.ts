import 'reflect-metadata'
import test from 'ava'
import { Err, Ok } from 'ts-results'
import type { Refusal } from '../../src/admission/refusal.js'
import type { Route } from '../../src/config/route.js'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import { OutcomeCounter } from '../../src/placement/outcome-counter.js'
import { givenUpRefusal } from '../../src/placement/given-up-refusal.js'
import type { PlacementRequest } from '../../src/placement/placement-request.js'
import type { SendFailure } from '../../src/routing/exchanges/send-failure.js'
import { Ending } from '../../src/routing/ending/ending.js'
import { Forwarding } from '../../src/routing/forwarding.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

type Tools = ConstructorParameters<typeof Forwarding>[3]

interface Options {
  readonly status: number
  readonly delay: number
  readonly failure?: SendFailure
  readonly deadline?: number
  /** Whether a server has a slot. */
  readonly hasSlots?: boolean
}

const route: Route = { host: 'h', pathPrefix: '/', services: [], streamed: true, idempotent: false, resumable: false, attempts: 1, timeout: 5_000, target: 300, priority: 0 }
const abandoned: SendFailure = { why: 'abandoned', sent: true, detail: '' }

/** Forwards one request that may run only once to a server that answers with `status` after `delay` ms, or to which the send fails. */
function forward ({ status, delay, failure, deadline = 5_000, hasSlots = true }: Options) {
  const clock = new VirtualClock()
  const outcomes = new OutcomeCounter()
  const ends: string[] = []
  const answers: number[] = []
  const refusals: string[] = []
  const refusedAt: number[] = []
  const ending = new Ending(clock)
  const exchange = { status, headers: {}, framing: 'length', isStream: () => false, isWholeSent: () => true, read: async () => Ok(undefined) }
  const tools = {
    clock,
    random: new Random(1),
    log: { write: () => {} },
    metrics: new Metrics(),
    dialect: { buildHeaders: () => ({}), isNotRun: () => false, readRequestId: () => undefined, listSharedParts: () => [] },
    sender: { send: async (_server: unknown, { signal }: { readonly signal: AbortSignal }) => await new Promise(resolve => { signal.addEventListener('abort', () => resolve(Err(abandoned))); clock.after(delay, () => resolve(failure !== undefined ? Err(failure) : Ok({ server: { name: 's' }, exchange, sentAt: 0, end: (outcome: string) => ends.push(outcome), fail: async () => {} }))) }) },
    servers: { find: () => ({ name: 's' }) },
    blame: { check: () => ({ type: 'clear' }) },
    quarantine: { check: () => 'clear', pass: () => {} },
    queue: { request: ({ start, refuse, signal }: PlacementRequest) => { if (hasSlots) start('s'); else signal.addEventListener('abort', () => refuse(givenUpRefusal)) }, recordHoldTime: () => {} },
    loads: { outcomes },
    ending
  } as unknown as Tools
  const request = { id: 'r', route, priority: 0, method: 'POST', path: '/', headers: {}, arrived: 0, deadline, asked: 0, signal: new AbortController().signal }
  const sink = { answer: (code: number) => { answers.push(code) }, refuse: ({ cause, ran }: Refusal) => { refusals.push(`${cause}, ${ran}`); refusedAt.push(clock.now()) }, begin: () => {}, write: async () => {}, end: () => {}, abort: () => {} }
  const done = new Forwarding(request, 'p', sink, tools).run()
  return { clock, done, ends, answers, outcomes, refusals, refusedAt, ending }
}

// Guards against a server that never loses its requests because an error that is relayed counts as an answer.
test('an error of the server that is relayed to the caller counts as failed', async t => {
  const { clock, done, ends, answers } = forward({ status: 500, delay: 1 })
  await clock.advance(10)
  await done
  t.deepEqual({ ends, answers }, { ends: ['error'], answers: [500] })
})

// Guards against a mute server that keeps its requests until their callers leave, each without an outcome.
test('a server that is silent to a request which may run only once counts as failed before the caller leaves', async t => {
  const { clock, done, outcomes } = forward({ status: 200, delay: 4_000 })
  await clock.advance(1_000)
  t.deepEqual([...outcomes.takeReports(() => 'b')], [['b', [['s', 0, 1]]]])
  await clock.advance(4_000)
  await done
})

// Guards against answers within a server's usual time that count as failed.
test('an answer in time has no failed outcome', async t => {
  const { clock, done, outcomes, ends } = forward({ status: 200, delay: 500 })
  await clock.advance(2_000)
  await done
  t.deepEqual([...outcomes.takeReports(() => 'b')], [])
  t.deepEqual(ends, ['answered'])
})

// Guards against a request that can't be sent and is tried at one server after the other.
test('a request that the client can not send is refused as invalid at its first server', async t => {
  const { clock, done, refusals } = forward({ status: 200, delay: 1, failure: { why: 'invalid', sent: false, detail: 'invalid x-tenant header' } })
  await clock.advance(10)
  await done
  t.deepEqual(refusals, ['invalid request, not run'])
})

const endings = [
  { name: 'waits for a slot', sends: false, refusal: 'draining, not run', at: 6_700 },
  { name: 'has gone to a server', sends: true, refusal: 'draining, unknown', at: 7_700 }
]

// Guards against requests whose connections are closed without an answer when their daemon ends.
for (const { name, sends, refusal, at } of endings) {
  test(`a request that ${name} when its daemon ends is answered before that`, async t => {
    const { clock, done, refusals, ending, refusedAt } = forward({ status: 200, delay: 20_000, deadline: 30_000, hasSlots: sends })
    for (let i = 0; i < 4; i++) ending.times.record(route, 1_000 / 1.2)
    await clock.advance(0)
    ending.begin(7_700)
    clock.after(7_700, () => ending.finish())
    await clock.advance(20_000)
    await done
    t.deepEqual({ refusals, refusedAt }, { refusals: [refusal], refusedAt: [at] })
  })
}
