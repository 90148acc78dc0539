import type { EngineRun } from './engine-run.js'
import type { HuntJob } from './hunt-job.js'
import type { HuntSend } from './hunt-send.js'

/** All that a hunt saw, for the checks. */
export interface HuntRecord {
  readonly seed: number
  readonly deadline: number
  readonly sends: readonly HuntSend[]
  /** Ids in the servers' own run files. */
  readonly runs: readonly string[]
  /** The engines' runs by the mark that their words carry. */
  readonly engineRuns: Readonly<Record<string, EngineRun>>
  readonly jobs: readonly HuntJob[]
  /** The configuration versions that each run of a daemon acted on, in the order seen. */
  readonly versions: ReadonlyArray<{ readonly daemon: string, readonly versions: readonly number[] }>
  /** Versions that an operator was told are accepted; two for one base would be a finding. */
  readonly accepted: readonly number[]
  /** Versions at the end, of each daemon that should be up. */
  readonly last: readonly number[]
  /** Daemons that stood still, and when. */
  readonly frozen: ReadonlyArray<{ readonly daemon: string, readonly from: number, readonly to: number }>
  readonly account: { readonly asked: number, readonly answered: number, readonly mayMiss: number }
  /** What was asked once all was over, and didn't work. */
  readonly after: readonly string[]
}
