/** The state of a backend server as published by its owner. */
export interface ServerView {
  readonly server: string
  readonly state: 'open' | 'leaving' | 'down'
  /** Online requests in flight there from all daemons. */
  readonly online: number
  /** Batch requests in flight there. */
  readonly batch: number
  /** Most requests that may be in flight there, online and batch together. */
  readonly limit: number
  /** Fencing number of the owner; views with a lower one than the last are dropped. */
  readonly fencing: number
}
