/** One suspect that waits for its trial, at the daemon that gives trials out. Times in monotonic ms. */
interface Waiting { readonly id: string, readonly fingerprint: string, readonly servers: readonly string[], readonly since: number, readonly until: number }

interface Running { readonly fingerprint: string, readonly server: string, readonly until: number }

/** The trials that one daemon has given out, by id, and who waits for one, in order. */
export interface TrialsState {
  readonly running: ReadonlyMap<string, Running>
  readonly waiting: readonly Waiting[]
  /** By fingerprint: the daemons that are ready. */
  readonly ready: ReadonlyMap<string, { readonly daemons: ReadonlySet<string>, readonly until: number }>
}
