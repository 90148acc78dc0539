/** A suspect that waits for its trial. Times in monotonic ms. */
interface Waiting { readonly id: string, readonly fingerprint: string, readonly servers: readonly string[], readonly since: number, readonly until: number }

interface Running { readonly fingerprint: string, readonly server: string, readonly until: number }

/** State of the trial coordinator: granted trials by id, and waiting asks in order. */
export interface TrialsState {
  readonly running: ReadonlyMap<string, Running>
  readonly waiting: readonly Waiting[]
  /** By fingerprint: the daemons that know of it and have reported their exchanges in flight. */
  readonly ready: ReadonlyMap<string, { readonly daemons: ReadonlySet<string>, readonly until: number }>
}
