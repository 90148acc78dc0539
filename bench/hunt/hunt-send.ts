/** One sending of an online request, and what came back. Times in ms after the hunt began. */
export interface HuntSend {
  readonly id: string
  /** The request that it is a sending of; for a booking also its key. */
  readonly request: string
  readonly daemon: string
  readonly at: number
  readonly took: number
  readonly outcome: 'answered' | 'refused' | 'cut' | 'no answer'
  readonly status?: number
  readonly ran?: 'not run' | 'unknown' | 'ran'
  /** What is wrong with an answer that was passed as whole. */
  readonly wrong?: string
  /** The words of a model's answer with the marks of the runs that gave them. */
  readonly marked?: string
  /** The answer of a booking, to be compared with later answers of its key. */
  readonly text?: string
}
