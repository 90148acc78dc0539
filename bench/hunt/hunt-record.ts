import type { EngineRun } from './engine-run.js'
import type { HuntJob } from './hunt-job.js'
import type { HuntSend } from './hunt-send.js'

/** What callers, servers and operators observed in one hunt. */
export interface HuntRecord {
  readonly seed: number
  readonly deadline: number
  readonly sends: readonly HuntSend[]
  /** Ids of all runs in the servers' run files. */
  readonly runs: readonly string[]
  /** The engines' runs, by the mark on their words. */
  readonly engineRuns: Readonly<Record<string, EngineRun>>
  readonly jobs: readonly HuntJob[]
  /** The configuration versions that each daemon process used, in order. */
  readonly versions: ReadonlyArray<{ readonly daemon: string, readonly versions: readonly number[] }>
  /** Versions of accepted updates; each must be accepted only once. */
  readonly accepted: readonly number[]
  /** The version at the end of each daemon that should be running. */
  readonly last: readonly number[]
  /** Daemons that were paused, and when. */
  readonly frozen: ReadonlyArray<{ readonly daemon: string, readonly from: number, readonly to: number }>
  readonly account: { readonly asked: number, readonly answered: number, readonly mayMiss: number }
  /** Requests that failed after the last trouble, a sentence each. */
  readonly after: readonly string[]
}
