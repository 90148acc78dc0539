/** Online requests and batch items in flight at one server. */
export interface LoadCounts {
  readonly online: number
  readonly batch: number
}
