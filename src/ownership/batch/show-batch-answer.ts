import type { BatchAnswer } from './batch-answer.js'

/**
 * Returns a complete answer in the OpenAI format, as for an unstreamed request. Completion tokens include those of
 * earlier runs; `usage` is omitted if the server didn't send it.
 */
export function showBatchAnswer ({ tokens, resumed, id, model, created, finish, usage }: BatchAnswer, chat: boolean): unknown {
  const text = tokens.join('')
  const choice = chat ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finish } : { index: 0, text, finish_reason: finish }
  return {
    id,
    object: chat ? 'chat.completion' : 'text_completion',
    created,
    model,
    choices: [choice],
    ...usage === undefined ? {} : { usage: addResumed(usage, resumed) }
  }
}

function addResumed (usage: Readonly<Record<string, number>>, resumed: number): Readonly<Record<string, number>> {
  const { completion_tokens: completion = 0, total_tokens: total = 0 } = usage
  return { ...usage, completion_tokens: completion + resumed, total_tokens: total + resumed }
}
