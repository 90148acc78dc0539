import type { AnswerHead } from './answer-head.js'

/** Returns the fields of a log line for the answer to a send of `request`, none where no answer began. */
export function showAnswerHead (request: string, head: AnswerHead | undefined): object {
  if (head === undefined) return {}
  const { status, id = 'no request', isWholeSent } = head
  return { status, names: id === request ? 'this request' : id, whole: isWholeSent }
}
