import type { ModelRequest } from './model-request.js'
import type { ServerRequest } from './exchanges/server-request.js'

/** In characters: enough to distinguish system prompts, few enough that requests which share one get the same prefix. */
const PREFIX_LENGTH = 256
const MODEL_PATHS = ['/v1/chat/completions', '/v1/completions']

/** Reads a request to one of the OpenAI completion endpoints; returns undefined for any other. */
export function readModelRequest ({ path, body }: Pick<ServerRequest, 'path' | 'body'>): ModelRequest | undefined {
  if (body === undefined || !MODEL_PATHS.includes(path)) return undefined
  try {
    const value = JSON.parse(body.toString())
    return {
      stream: value.stream === true,
      includeUsage: value.stream_options?.include_usage === true,
      prefix: showPrompt(value).slice(0, PREFIX_LENGTH),
      resume: tokens => Buffer.from(JSON.stringify({ ...value, resume_from: tokens }))
    }
  } catch {
    return undefined
  }
}

function showPrompt ({ prompt, messages }: { readonly prompt?: unknown, readonly messages?: unknown }): string {
  if (!Array.isArray(messages)) return String(prompt)
  return messages.map(message => typeof message?.content === 'string' ? message.content : JSON.stringify(message?.content)).join('\n')
}
