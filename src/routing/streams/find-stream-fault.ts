import type { AnswerFraming } from '../../http/answer-framing.js'

interface EndedStream {
  readonly framing: AnswerFraming
  /** Whether its bytes end with a complete event, or there are none. */
  readonly isAtBoundary: boolean
  /** Whether this run has sent an event. */
  readonly hasEvents: boolean
}

/**
 * Returns why a stream whose connection ended regularly was broken off; undefined if nothing shows that. One whose end only the
 * connection marks has at least one event.
 */
export function findStreamFault ({ framing, isAtBoundary, hasEvents }: EndedStream): string | undefined {
  if (!isAtBoundary) return 'it ended within an event'
  return framing === 'connection' && !hasEvents ? 'it ended without an event' : undefined
}
