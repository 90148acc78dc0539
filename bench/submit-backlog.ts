import { CallerClient } from '../harness/caller-client.js'
import type { Fleet } from '../harness/fleet.js'

const ITEMS_PER_JOB = 2_000

/** Submits `jobs` batch jobs of `itemsPerJob` items each, so that there is a backlog throughout a run. Returns their ids. */
export async function submitBacklog (fleet: Fleet, { jobs, itemTokens, seed, itemsPerJob = ITEMS_PER_JOB }: { readonly jobs: number, readonly itemTokens: number, readonly seed: number, readonly itemsPerJob?: number }): Promise<readonly string[]> {
  const client = new CallerClient(fleet.url(fleet.daemons[0]!), 'night-desk-token')
  const ids: string[] = []
  for (let job = 0; job < jobs; job++) {
    const file = await client.upload(Array.from({ length: itemsPerJob }, (_, n) => ({
      custom_id: `item-${n}`,
      method: 'POST',
      url: '/v1/chat/completions',
      body: { model: 'berth-assistant', max_tokens: itemTokens, messages: [{ role: 'user', content: `backlog ${seed} job ${job} item ${n}` }] }
    })))
    ids.push((await client.submit(file, `backlog-${seed}-${job}`)).id)
  }
  return ids
}
