import 'reflect-metadata'
import test, { type ExecutionContext } from 'ava'
import type { Fleet } from '../../harness/fleet.js'
import { createClient, lines, startFleet } from './helpers/process-fleet.js'

/** The stated bound: a holder's look at the job is at most this old while the platform answers, ms. */
const BOUND = 5_000
/** For how long after the bound the engines' logs are watched, ms. */
const WATCHED = 3_000
const ITEMS = 6_000
const TOKENS = 200

interface Running { readonly fleet: Fleet, readonly job: string, readonly holder: number, readonly readStarts: () => Promise<readonly number[]> }

/** A fleet that runs a job far too long to end by itself, and who holds its first chunk. */
async function startJob (t: ExecutionContext): Promise<Running> {
  const fleet = await startFleet()
  t.teardown(async () => await fleet.stop())
  const client = createClient(fleet, 1)
  const file = await client.files.create({ purpose: 'batch', file: new File([lines(ITEMS, TOKENS)], 'drafts.jsonl') })
  const job = await client.batches.create({ input_file_id: file.id, endpoint: '/v1/chat/completions', completion_window: '24h' })
  const readStarts = async (): Promise<readonly number[]> => (await Promise.all(fleet.servers.map(async server => await fleet.readLog(server)))).flat().map(({ at }) => at)
  await fleet.waitUntil(async () => (await readStarts()).length > 20)
  const held = await fleet.control('GET', '/objects/chunk')
  const { instance } = held.objects.find(({ value }: any) => value.holder !== undefined).value.holder
  return { fleet, job: job.id, holder: fleet.daemons.findIndex(node => node.instance.name === instance), readStarts }
}

/** Waits until the bound is over for long enough, and checks that nothing began after it. */
async function checkStopped (t: ExecutionContext, { fleet, job, readStarts }: Running, reader: number, acknowledged: number): Promise<void> {
  await fleet.waitUntil(async () => Date.now() > acknowledged + BOUND + WATCHED)
  const starts = await readStarts()
  const last = Math.max(...starts) - acknowledged
  t.log(`${starts.length} items of ${ITEMS} began, the last ${last} ms after the acknowledgement`)
  t.true(last <= BOUND)
  await fleet.waitUntil(async () => (await createClient(fleet, reader).batches.retrieve(job)).status === 'cancelled')
}

// What the caller sees: its cancelling acknowledged by a daemon that holds none of the job's chunks. All daemons hear of it.
test('a job cancelled while it runs: no item begins after the bound', async t => {
  const running = await startJob(t)
  const other = (running.holder + 1) % 3
  await createClient(running.fleet, other).batches.cancel(running.job)
  await checkStopped(t, running, other, Date.now())
})

// What the caller sees: the same, while a holder is frozen. It hears of nothing, and goes on after the acknowledgement with
// items that it took to be ready. It has to look at the job again before it starts any.
test('a job cancelled while a holder is frozen: the holder begins nothing when it goes on', async t => {
  const running = await startJob(t)
  const { fleet, holder } = running
  const frozen = fleet.daemons[holder]!
  const other = (holder + 1) % 3
  t.teardown(() => frozen.child.signal('SIGKILL'))
  frozen.child.signal('SIGSTOP')
  await createClient(fleet, other).batches.cancel(running.job)
  const acknowledged = Date.now()
  await fleet.waitUntil(async () => Date.now() > acknowledged + BOUND)
  frozen.child.signal('SIGCONT')
  await checkStopped(t, running, other, acknowledged)
})

// What the caller sees: a refusal, because the cancelling can't be made durable while the platform is out; the job goes
// on. Sent again when the platform is back it is acknowledged, and the bound holds from there.
test('a job cancelled in an outage of the platform: refused, then the bound holds', async t => {
  const running = await startJob(t)
  const { fleet, holder } = running
  const other = (holder + 1) % 3
  const client = createClient(fleet, other)
  await fleet.setPlatformFaults({ outage: 'refused' })
  await t.throwsAsync(async () => await client.batches.cancel(running.job), { message: /503/ })
  await fleet.setPlatformFaults({})
  let acknowledged = 0
  await fleet.waitUntil(async () => await client.batches.cancel(running.job).then(() => { acknowledged = Date.now() }, () => {}) === undefined && acknowledged > 0)
  await checkStopped(t, running, other, acknowledged)
})
