import { Err, Ok, type Result } from 'ts-results'
import type { Completion } from './completion.js'

const DEFAULT_TOKENS = 16
const MAX_TOKENS = 100_000

/** Parses and validates a request body; the error names the invalid field. */
export function readCompletion (text: string, chat: boolean): Result<Completion, string> {
  const body = parse(text)
  if (body === undefined) return Err('the body must be a JSON object')
  const prompt = chat ? readMessages(body.messages) : body.prompt
  if (typeof prompt !== 'string') return Err(chat ? 'messages: must be a list of messages with content' : 'prompt: must be text')
  const tokens = body.max_tokens ?? DEFAULT_TOKENS
  if (!Number.isInteger(tokens) || (tokens as number) < 1 || (tokens as number) > MAX_TOKENS) return Err(`max_tokens: must be 1 to ${MAX_TOKENS}`)
  const resumeFrom = body.resume_from ?? []
  if (!Array.isArray(resumeFrom) || resumeFrom.some(word => typeof word !== 'string')) return Err('resume_from: must be a list of tokens')
  const kv = body.kv ?? undefined
  if (kv !== undefined && typeof kv !== 'string') return Err('kv: must be a handle')
  return Ok({ chat, model: String(body.model), prompt, tokens: tokens as number, stream: body.stream === true, includeUsage: (body.stream_options as any)?.include_usage === true, resumeFrom, kv })
}

function parse (text: string): Record<string, unknown> | undefined {
  try {
    const value = JSON.parse(text)
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value : undefined
  } catch {
    return undefined
  }
}

function readMessages (messages: unknown): string | undefined {
  if (!Array.isArray(messages) || messages.length === 0) return undefined
  const contents = messages.map(message => message?.content)
  return contents.every(content => typeof content === 'string') ? contents.join('\n') : undefined
}
