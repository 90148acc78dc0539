import type { JobReading } from './job-reading.js'

/** A job and the responses that its caller got. Times in ms. */
export interface SentJob {
  readonly id: string
  readonly items: readonly string[]
  /** Statuses of its submissions in order: 202 where it was accepted, 0 where no response came. */
  readonly statuses: number[]
  acceptedAt: number | undefined
  /** When its cancellation was first asked for. From then on it may have ended, whether or not the caller gets an answer. */
  endAskedAt?: number
  /** When its cancellation was confirmed. */
  endedAt: number | undefined
  readonly reads: JobReading[]
}
