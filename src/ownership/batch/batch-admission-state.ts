import type { BatchStream } from './batch-stream.js'

/** State of batch admission on one server. Times in monotonic ms. */
export interface BatchAdmissionState {
  /** Online requests in flight, as reported by the daemons. */
  readonly online: number
  /** When online requests last began on a server that had none. */
  readonly busySince: number
  /** Sequences running or waiting by the server's last load report, which lags behind. */
  readonly reported: number
  /** Streams in start order. */
  readonly streams: readonly BatchStream[]
  /** Adaptive limit of batch streams while no online requests are in flight. */
  readonly limit: number
  readonly limitChangedAt: number
  /** Last observed time between tokens of the streams, about the duration of one engine step. */
  readonly gap: number
  /** Recent peak of online requests; it decays exponentially. */
  readonly peak: number
  readonly peakAt: number
  readonly lastStart: number
  /** Prompt tokens that the most recently started stream had to prefill. */
  readonly lastPrefill: number
  /** Prefill debt at `debtAt`, in squared tokens; see `estimatePrefillDebt`. */
  readonly debt: number
  readonly debtAt: number
}
