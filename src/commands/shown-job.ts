/** A batch job as returned by a daemon. Times in seconds since 1970. */
export interface ShownJob {
  readonly id: string
  readonly status: string
  readonly late: boolean
  readonly created_at: number
  readonly expires_at: number
  readonly estimated_completion_at: number | null
  readonly request_counts: { readonly total: number, readonly completed: number, readonly failed: number, readonly cancelled: number }
}
