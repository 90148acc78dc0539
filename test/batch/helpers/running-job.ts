import type { ExecutionContext } from 'ava'
import type { Fleet } from '../../../harness/fleet.js'
import { createClient, lines, startFleet } from './process-fleet.js'

/** Time in ms after the acknowledgement of a cancellation within which all starts of items must stop. */
export const BOUND = 5_000
/** ms after the bound during which the engines' logs are still read. */
const WATCHED = 3_000
const ITEMS = 6_000
const TOKENS = 200

interface Running { readonly fleet: Fleet, readonly job: string, readonly holder: number, readonly readStarts: () => Promise<readonly number[]> }

/** Starts a fleet and a job too long to end by itself, and returns the index of the daemon that holds a chunk of it. */
export async function startJob (t: ExecutionContext): Promise<Running> {
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

/** Waits until well after the bound, and checks that no item started after it and that the job ends as cancelled. */
export async function checkStopped (t: ExecutionContext, { fleet, job, readStarts }: Running, reader: number, acknowledged: number): Promise<void> {
  await fleet.waitUntil(async () => Date.now() > acknowledged + BOUND + WATCHED)
  const starts = await readStarts()
  const last = Math.max(...starts) - acknowledged
  t.log(`${starts.length} items of ${ITEMS} began, the last ${last} ms after the acknowledgement`)
  t.true(last <= BOUND)
  await fleet.waitUntil(async () => (await createClient(fleet, reader).batches.retrieve(job)).status === 'cancelled')
}
