/** What the owner of a backend server tells about it. */
export interface ServerView {
  readonly server: string
  readonly state: 'open' | 'leaving' | 'down'
  /** Online requests in flight there, over all daemons. */
  readonly online: number
  /** Batch requests in flight there. */
  readonly batch: number
  /** Requests that may be in flight there, online and batch together. */
  readonly limit: number
  /** Fencing number of the owner that says so; a view with a lower one is dropped. */
  readonly fencing: number
}
