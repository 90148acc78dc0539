/** What the head of an answer tells of a send, for the log. */
export interface AnswerHead {
  readonly status: number
  /** Id of the request that the answer names, if it names one. */
  readonly id: string | undefined
  /** Whether all bytes of the request may have been sent by then. */
  readonly isWholeSent: boolean
}
