import { CallerClient } from '../harness/caller-client.js'
import type { Fleet } from '../harness/fleet.js'
import { batchPlan } from './batch-plan.js'

/** Submits the batch job of the demo; returns its id. */
export async function submitBatchWork (fleet: Fleet, items: number): Promise<string> {
  const client = new CallerClient(fleet.url(fleet.daemons[0]!), 'night-desk-token')
  const file = await client.upload(Array.from({ length: items }, (_, n) => ({
    custom_id: `draft-${n}`,
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model: 'berth-assistant', max_tokens: batchPlan.tokens, messages: [{ role: 'user', content: batchPlan.createPrompt(n) }] }
  })))
  return (await client.submit(file, 'nightly-drafts')).id
}
