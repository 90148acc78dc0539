/** Requests in flight at one server: online ones and batch items. */
export interface LoadCounts {
  readonly online: number
  readonly batch: number
}
