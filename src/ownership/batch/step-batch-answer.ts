import type { BatchAnswer } from './batch-answer.js'

const DONE = '[DONE]'

interface Chunk {
  readonly id?: string
  readonly model?: string
  readonly created?: number
  readonly usage?: Readonly<Record<string, number>> | null
  readonly choices?: ReadonlyArray<{ readonly text?: string, readonly delta?: { readonly content?: string | null }, readonly finish_reason?: string | null }>
}

/** Applies the data of one event of a streamed answer; returns undefined if it isn't a valid chunk. */
export function stepBatchAnswer (answer: BatchAnswer, data: string): BatchAnswer | undefined {
  if (data === '') return answer
  if (data === DONE) return { ...answer, done: true }
  const chunk = readChunk(data)
  if (chunk === undefined) return undefined
  const choice = chunk.choices?.[0]
  const text = choice?.text ?? choice?.delta?.content
  return {
    ...answer,
    tokens: typeof text === 'string' && text !== '' ? [...answer.tokens, text] : answer.tokens,
    id: answer.id ?? chunk.id,
    model: answer.model ?? chunk.model,
    created: answer.created ?? chunk.created,
    finish: choice?.finish_reason ?? answer.finish,
    usage: chunk.usage ?? answer.usage
  }
}

function readChunk (data: string): Chunk | undefined {
  try {
    const value = JSON.parse(data)
    return typeof value === 'object' && value !== null && !('error' in value) ? value : undefined
  } catch {
    return undefined
  }
}
