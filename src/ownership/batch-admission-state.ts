import type { BatchStream } from './batch-stream.js'

/** What batch admission on one server remembers. Times are monotonic ms. */
export interface BatchAdmissionState {
  /** Online requests in flight, as the daemons tell. */
  readonly online: number
  /** When the first of them began on a server that had none. */
  readonly busySince: number
  /** Sequences running or waiting, as the server last reported; late. */
  readonly reported: number
  /** Streams in the order in which they were started. */
  readonly streams: readonly BatchStream[]
  /** Adaptive limit of batch streams while nothing else runs. */
  readonly limit: number
  readonly limitChangedAt: number
  /** Time between tokens of the streams when it was last observed: about a step. */
  readonly gap: number
  /** Highest number of online requests of late; it decays. */
  readonly peak: number
  readonly peakAt: number
  readonly lastStart: number
  /** Prompt tokens that the stream started last had to prefill. */
  readonly lastPrefill: number
  /** What prompts that were started owe, squared tokens, as it was at `debtAt`; see `estimatePrefillDebt`. */
  readonly debt: number
  readonly debtAt: number
}
