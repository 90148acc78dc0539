/** How the items of a chunk or a job ended. */
export interface Counts {
  readonly completed: number
  readonly failed: number
  readonly cancelled: number
}
