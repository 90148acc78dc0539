import { CallerClient } from '../harness/caller-client.js'
import type { Fleet } from '../harness/fleet.js'
import { answerWords } from '../stand-ins/engine/answer-words.js'
import type { Caller } from './caller.js'
import type { Checks } from './checks.js'

const IMPOSSIBLE: readonly number[] = [7, 123, 499]
const TOKENS = 40

/** Submits the batch job of the trial; gives back its id. */
export async function submitBatchWork (fleet: Fleet, items: number): Promise<string> {
  const client = new CallerClient(fleet.url(fleet.daemons[0]!), 'night-desk-token')
  const file = await client.upload(Array.from({ length: items }, (_, n) => ({
    custom_id: `draft-${n}`,
    method: 'POST',
    url: '/v1/chat/completions',
    body: { model: 'berth-assistant', max_tokens: TOKENS, messages: [{ role: 'user', content: writePrompt(n) }] }
  })))
  return (await client.submit(file, 'nightly-drafts')).id
}

/** Waits for the job to complete and checks each of its results. */
export async function checkBatchWork (job: string, items: number, fleet: Fleet, caller: Caller, checks: Checks): Promise<void> {
  await fleet.waitUntil(async () => JSON.parse((await caller.send('GET', `/v1/batches/${job}`)).text).status === 'completed')
  const output = await readLines(caller, `${job}.output`)
  const errors = await readLines(caller, `${job}.errors`)
  const ids = new Set([...output, ...errors].map(line => line.custom_id))
  checks.expect(output.length + errors.length === items && ids.size === items, `each of ${items} items has one result`, `${output.length} done, ${errors.length} failed`)
  const failed = errors.map(line => line.custom_id).sort()
  checks.expect(String(failed) === String(IMPOSSIBLE.map(n => `draft-${n}`).sort()), 'only the three impossible items failed, each with its cause', errors.map(line => line.error.code).join(', '))
  const wrong = output.filter(line => {
    return line.response.body.choices[0].message.content !== answerWords(writePrompt(Number(line.custom_id.slice(6))), TOKENS).join(' ')
  })
  checks.expect(wrong.length === 0, 'each result is its own item\'s, whole', wrong.slice(0, 2).map(line => JSON.stringify(line)).join(' '))
  const again = await readLines(caller, `${job}.output`)
  checks.expect(JSON.stringify(again) === JSON.stringify(output), 'reading the results again gives the same bytes')
}

async function readLines (caller: Caller, file: string): Promise<readonly any[]> {
  const { text } = await caller.send('GET', `/v1/files/${file}/content`)
  return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line))
}

function writePrompt (n: number): string {
  return IMPOSSIBLE.includes(n) ? `[impossible] draft ${n}` : `Draft an itinerary to Penghu for group ${n}`
}
