/** State of one kind of object in a watcher's heartbeat. */
interface KindState {
  /** The revision up to which the watcher has published every change. */
  readonly published: number
  /** Time since the store last answered the watcher, ms. */
  readonly age: number
}

/** Periodic message of a watcher to the daemons that rely on it. */
export interface Heartbeat {
  /** Time until the next heartbeat, ms. */
  readonly next: number
  readonly kinds: ReadonlyMap<string, KindState>
}
