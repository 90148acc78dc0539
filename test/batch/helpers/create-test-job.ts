import type { Item } from '../../../src/batch/item.js'
import type { Job } from '../../../src/batch/job.js'
import type { SimulatedDaemon } from './simulated-daemon.js'

const HOUR = 3_600_000

/** Uploads `count` items as one file and submits a job for it under `key`. */
export async function createTestJob (daemon: SimulatedDaemon, { count, key = 'menu', idempotent = () => true }: {
  readonly count: number
  readonly key?: string
  readonly idempotent?: (item: number) => boolean
}): Promise<Job> {
  const items: Item[] = Array.from({ length: count }, (_, i) => ({ id: `item-${i}`, url: '/v1/chat/completions', body: { model: 'drafts' }, idempotent: idempotent(i) }))
  const file = (await daemon.files.create({ caller: 'kitchen', name: 'menu.jsonl', bytes: count, items: new Map([['drafts', items]]) })).unwrap()
  return (await daemon.jobs.create(file, { key, endpoint: '/v1/chat/completions', window: 24 * HOUR })).unwrap().job
}
