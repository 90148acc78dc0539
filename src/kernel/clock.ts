/**
 * The time as a part sees it. `now` is monotonic milliseconds from an arbitrary start and is what every
 * interval is measured with; `date` is wall-clock milliseconds and is only for records that people read.
 */
export interface Clock {
  now (): number
  date (): number
  /** Runs `task` once after `delay` ms; the function it gives back cancels it. */
  after (delay: number, task: () => void): () => void
  /** Runs `task` every `period` ms, at times it may share with other tasks; the function it gives back cancels it. */
  every (period: number, task: () => void): () => void
}
