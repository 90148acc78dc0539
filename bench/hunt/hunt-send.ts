/** One attempt of an online request and its response. Times in ms since the start of the hunt. */
export interface HuntSend {
  readonly id: string
  /** The request that it is an attempt of; for a booking also its idempotency key. */
  readonly request: string
  readonly daemon: string
  readonly at: number
  readonly took: number
  readonly outcome: 'answered' | 'refused' | 'cut' | 'no answer'
  readonly status?: number
  readonly ran?: 'not run' | 'unknown' | 'ran'
  /** The error of an answer that was delivered as complete. */
  readonly wrong?: string
  /** A model's answer with its run marks. */
  readonly marked?: string
  /** The answer of a booking, compared with other answers under the same key. */
  readonly text?: string
}
