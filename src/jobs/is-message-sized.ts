import { failUnreachable } from '../kernel/unreachable.js'
import type { OwnerResponse } from './owner-response.js'

/** Maximum bytes of texts in a response to another daemon, which ends the connection at a message over 1 MB. */
const MAX_TEXT_BYTES = 900_000

/** Whether a response fits into one message to another daemon; a large result can be read from the store only. */
export function isMessageSized (response: OwnerResponse): boolean {
  switch (response.type) {
    case 'page': return response.page.results.reduce((sum, { text }) => sum + Buffer.byteLength(text), 0) <= MAX_TEXT_BYTES
    case 'body': return (response.body?.length ?? 0) <= MAX_TEXT_BYTES
    case 'done': return true
    default: return failUnreachable(response)
  }
}
