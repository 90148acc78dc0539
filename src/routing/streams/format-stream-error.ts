import type { Refusal } from '../../admission/refusal.js'

/** Formats the event that ends an incomplete stream: a problem document with an `error` as in the OpenAI API. */
export function formatStreamError ({ cause, ran, retryAfter, detail }: Refusal): string {
  const code = cause.replaceAll(' ', '-')
  const problem = { type: `urn:citronwheel:${code}`, title: code, detail, ran, retryAfter: Math.round(retryAfter), error: { message: detail, type: code, code } }
  return `event: error\ndata: ${JSON.stringify(problem)}\n\n`
}
