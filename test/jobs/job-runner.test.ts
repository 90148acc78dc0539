import 'reflect-metadata'
import test from 'ava'
import { Err, type Result } from 'ts-results'
import type { Configuration } from '../../src/config/configuration.js'
import type { ConfigurationHolder } from '../../src/config/configuration-holder.js'
import { ItemDurationEstimator } from '../../src/jobs/item-duration-estimator.js'
import type { JobItem } from '../../src/jobs/job-item.js'
import { JobRunner } from '../../src/jobs/job-runner.js'
import { OwnedJob } from '../../src/jobs/owned-job.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { ServerLoads } from '../../src/placement/server-loads.js'
import type { SlotClient } from '../../src/placement/slot-client.js'
import type { OpenExchange } from '../../src/routing/exchanges/open-exchange.js'
import type { SendFailure } from '../../src/routing/exchanges/send-failure.js'
import type { Sender } from '../../src/routing/exchanges/sender.js'
import type { ServerDialect } from '../../src/routing/exchanges/server-dialect.js'
import type { ServerRequest } from '../../src/routing/exchanges/server-request.js'
import type { Servers } from '../../src/routing/servers/servers.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const POOL = 'pool'
const SERVER = 's1'
const ITEM: JobItem = { id: 'a', path: '/jobs/a', headers: {}, body: 'eA==', tokens: 10 }
/** Longer than a read lets items start while the store is available, ms. */
const STALE = 2_600
/** How long a connection to the server takes to open, ms. */
const CONNECTING = 1_000

interface Trial { readonly clock: VirtualClock, readonly job: OwnedJob, readonly grant: () => void, readonly countAsked: () => number, readonly begun: string[], readonly sent: ServerRequest[] }

/** Creates a runner with one job, and a server whose connections open after a delay. */
async function createTrial (): Promise<Trial> {
  const clock = new VirtualClock()
  const begun: string[] = []
  const sent: ServerRequest[] = []
  let asked = 0
  const listeners: Array<Parameters<SlotClient['subscribe']>[0]> = []
  const route = { host: 'h', pathPrefix: '/jobs/', services: [{ service: POOL, weight: 1 }], attempts: 3, jobs: { dueAfter: 60_000, giveUpAfter: 0, maxWaitingTokens: 0 } }
  const configuration = { value: { version: 1, routes: { r: route } } as unknown as Configuration } as unknown as ConfigurationHolder
  const send = async (_: unknown, request: ServerRequest): Promise<Result<OpenExchange, SendFailure>> => {
    sent.push(request)
    await new Promise<void>(resolve => clock.after(CONNECTING, resolve))
    if (request.mayStart?.() === false) return Err({ why: 'withheld', sent: false, detail: '' })
    begun.push(request.id)
    return Err({ why: 'cut', sent: true, detail: '' })
  }
  const runner = new JobRunner(
    { isOpen: () => true, markFull: () => {}, intervals: { record: () => {} } } as unknown as ServerLoads,
    { subscribe: (listener: typeof listeners[number]) => listeners.push(listener), requestBatchSlots: () => { asked++ } } as unknown as SlotClient,
    { send } as unknown as Sender,
    { find: () => ({ name: SERVER, url: '' }) } as unknown as Servers,
    { check: () => ({ type: 'clear' }), tellTrial: () => {} },
    configuration, new ItemDurationEstimator(), new PauseWatch(clock), new Metrics(), { buildHeaders: () => ({}), listSharedParts: () => [] } as unknown as ServerDialect, { write: () => {} }, clock, new Random(1))
  await runner.start()
  const header = { host: 'h', path: '/jobs/', submittedAt: 0, total: 1, tokens: 10, owner: 'd', run: 1, parts: 1 }
  const job = new OwnedJob({ id: 'j', header, items: [ITEM], segments: [], acceptedAt: 0, readAt: 0 })
  runner.add(job)
  return { clock, job, begun, sent, countAsked: () => asked, grant: () => listeners[0]!.onGrant(POOL, SERVER) }
}

test('an item runs after a recent read of its job', async t => {
  const { clock, grant, begun } = await createTrial()
  grant()
  await clock.advance(CONNECTING)
  t.deepEqual(begun, [ITEM.id])
})

// Guards against items that are sent on an old read.
test('no item is sent once the last read of its job is too old, until there is a new one', async t => {
  const { clock, job, grant, sent } = await createTrial()
  for (let ms = 0; ms < STALE; ms += 1_000) await clock.advance(1_000)
  grant()
  t.is(sent.length, 0)
  job.lastRead = { seen: clock.now(), unreachable: false }
  grant()
  t.is(sent.length, 1)
})

// Guards against an item that is sent after the read of its job expired while the connection opened.
test('an item whose read expires while its connection opens is withheld and retried', async t => {
  const { clock, job, grant, begun, sent } = await createTrial()
  await clock.advance(1_000)
  await clock.advance(1_000)
  grant()
  t.is(sent.length, 1)
  await clock.advance(CONNECTING)
  t.deepEqual(begun, [])
  job.lastRead = { seen: clock.now(), unreachable: false }
  await clock.advance(500)
  grant()
  await clock.advance(CONNECTING)
  t.deepEqual(begun, [ITEM.id])
  t.is(job.items[0]!.failures, 0)
})

// Guards against slots that are taken from other daemons for items that may not start.
test('no slot is requested while the last read of the only job is too old', async t => {
  const { clock, job, countAsked } = await createTrial()
  await clock.advance(2_000)
  t.true(countAsked() > 0)
  await clock.advance(1_000)
  const asked = countAsked()
  await clock.advance(2_000)
  t.is(countAsked(), asked)
  job.lastRead = { seen: clock.now(), unreachable: false }
  await clock.advance(1_000)
  t.true(countAsked() > asked)
})
