/** A batch job as the platform keeps it, in the object `job/ID`. */
export interface Job {
  readonly id: string
  readonly caller: string
  readonly file: string
  readonly endpoint: string
  /** Wall-clock ms. */
  readonly created: number
  readonly due: number
  readonly chunks: number
  readonly items: number
  readonly status: 'in_progress' | 'completed' | 'cancelling' | 'cancelled'
  /** Outcome counts of each finished chunk, by its number. */
  readonly finished: Readonly<Record<string, { readonly completed: number, readonly failed: number }>>
  readonly metadata?: Readonly<Record<string, string>>
}
