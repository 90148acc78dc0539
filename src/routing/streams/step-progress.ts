import type { SseEvent } from './sse-event.js'
import type { StreamProgress } from './stream-progress.js'

const DONE = '[DONE]'

interface Choice { readonly index?: number, readonly text?: string, readonly finish_reason?: string | null, readonly delta?: Readonly<Record<string, unknown>> }
interface Usage { readonly completion_tokens?: number, readonly total_tokens?: number }
interface Chunk { id?: string, readonly choices?: readonly Choice[], readonly usage?: Usage | null }

interface Step { readonly progress: StreamProgress, readonly relay?: string, /** The piece of text in the event. */ readonly token?: string }

/**
 * Applies one event of a streamed answer. `relay` is the text to send to the caller, with the id of the first chunk even if
 * a later server uses another, and with the usage of all servers together. It is absent if the event repeats what the
 * caller has already received.
 */
export function stepProgress (progress: StreamProgress, { data, raw }: SseEvent): Step {
  if (data === '') return { progress, relay: raw }
  if (data === DONE) return { progress: { ...progress, done: true }, relay: raw }
  const chunk = readChunk(data)
  if (chunk === undefined) return { progress: { ...progress, resumable: false }, relay: raw }
  const choice = chunk.choices?.[0]
  const text = choice?.text ?? choice?.delta?.content
  const repeated = progress.id !== undefined && choice !== undefined && (text === undefined || text === '') && choice.finish_reason == null && isPlain(choice)
  const usage = chunk.usage == null ? undefined : addEarlierTokens(chunk.usage, progress.earlierTokenCount)
  const token = typeof text === 'string' && text !== '' ? text : undefined
  const next: StreamProgress = {
    tokenCount: progress.tokenCount + (token === undefined ? 0 : 1),
    id: progress.id ?? chunk.id,
    finished: progress.finished || choice?.finish_reason != null,
    done: progress.done,
    resumable: progress.resumable && (chunk.choices?.every(({ index = 0 }) => index === 0) ?? true) && (choice === undefined || isPlain(choice)),
    earlierTokenCount: progress.earlierTokenCount,
    usage: usage?.completion_tokens ?? progress.usage
  }
  if (repeated) return { progress: next }
  const renamed = progress.id !== undefined && chunk.id !== undefined && chunk.id !== progress.id
  const changed = renamed || (usage !== undefined && progress.earlierTokenCount > 0)
  return { progress: next, token, relay: changed ? `data: ${JSON.stringify({ ...chunk, id: next.id, ...(usage && { usage }) })}\n\n` : raw }
}

function addEarlierTokens (usage: Usage, earlierTokenCount: number): Usage {
  const { completion_tokens: completion = 0, total_tokens: total = 0 } = usage
  return { ...usage, completion_tokens: completion + earlierTokenCount, total_tokens: total + earlierTokenCount }
}

/** Whether the choice contains only text. Tool calls and the like can't be continued from tokens. */
function isPlain ({ delta = {} }: Choice): boolean {
  return Object.entries(delta).every(([name, value]) => name === 'content' || name === 'role' || value === null)
}

function readChunk (data: string): Chunk | undefined {
  try {
    const value = JSON.parse(data)
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    return undefined
  }
}
