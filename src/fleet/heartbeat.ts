/** What a watcher's heartbeat says of one kind of object. */
interface KindState {
  /** The revision up to which the watcher has told everything. */
  readonly published: number
  /** How long ago the store answered the watcher last, ms. */
  readonly age: number
}

/** A watcher's periodic word to the daemons that rely on it. */
export interface Heartbeat {
  /** When the next one comes, ms. */
  readonly next: number
  readonly kinds: ReadonlyMap<string, KindState>
}
