/** Which of the known daemons have activated a version or a newer one, which have an older one, and which don't answer. */
export interface RolloutStatus {
  readonly version: number
  readonly acting: readonly string[]
  readonly behind: ReadonlyArray<{ readonly instance: string, readonly version: number }>
  readonly silent: readonly string[]
}
