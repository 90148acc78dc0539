/**
 * Time and timers for parts. `now` returns monotonic milliseconds from an arbitrary start, for intervals; `date` returns
 * wall-clock milliseconds, for records.
 */
export interface Clock {
  now (): number
  date (): number
  /** Runs `task` once after `delay` ms; the returned function cancels it. */
  after (delay: number, task: () => void): () => void
  /** Runs `task` every `period` ms, at times that it may share with other tasks; the returned function cancels it. */
  every (period: number, task: () => void): () => void
}
