/** Numbers of items of a chunk or a job by outcome. */
export interface Counts {
  readonly completed: number
  readonly failed: number
  readonly cancelled: number
}
