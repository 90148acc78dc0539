import type { Refusal } from '../admission/refusal.js'

/** The event that ends a stream which could not be made whole: a problem document with the `error` of the OpenAI shapes. */
export function formatStreamError ({ cause, ran, retryAfter, detail }: Refusal): string {
  const code = cause.replaceAll(' ', '-')
  const problem = { type: `urn:citronwheel:${code}`, title: code, detail, ran, retryAfter: Math.round(retryAfter), error: { message: detail, type: code, code } }
  return `event: error\ndata: ${JSON.stringify(problem)}\n\n`
}
