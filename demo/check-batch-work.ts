import type { Fleet } from '../harness/fleet.js'
import { createAnswerWords } from '../stand-ins/engine/create-answer-words.js'
import { batchPlan } from './batch-plan.js'
import type { Caller } from './caller.js'
import type { Checks } from './checks.js'

/** Waits for the job to complete and checks each of its results. */
export async function checkBatchWork (job: string, items: number, fleet: Fleet, caller: Caller, checks: Checks): Promise<void> {
  await fleet.waitUntil(async () => JSON.parse((await caller.send('GET', `/v1/batches/${job}`)).text).status === 'completed')
  const output = await readLines(caller, `${job}.output`)
  const errors = await readLines(caller, `${job}.errors`)
  const ids = new Set([...output, ...errors].map(line => line.custom_id))
  checks.expect(output.length + errors.length === items && ids.size === items, `each of ${items} items has one result`, `${output.length} done, ${errors.length} failed`)
  const failed = errors.map(line => line.custom_id).sort()
  checks.expect(String(failed) === String(batchPlan.impossible.map(n => `draft-${n}`).sort()), 'only the three impossible items failed, each with its cause', errors.map(line => line.error.code).join(', '))
  const wrong = output.filter(line => {
    return line.response.body.choices[0].message.content !== createAnswerWords(batchPlan.createPrompt(Number(line.custom_id.slice(6))), batchPlan.tokens).join(' ')
  })
  checks.expect(wrong.length === 0, 'each result is complete and belongs to its item', wrong.slice(0, 2).map(line => JSON.stringify(line)).join(' '))
  const again = await readLines(caller, `${job}.output`)
  checks.expect(JSON.stringify(again) === JSON.stringify(output), 'reading the results again gives the same bytes')
}

async function readLines (caller: Caller, file: string): Promise<readonly any[]> {
  const { text } = await caller.send('GET', `/v1/files/${file}/content`)
  return text.split('\n').filter(line => line !== '').map(line => JSON.parse(line))
}
