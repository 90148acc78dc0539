/** Which of the known daemons act on a version or a higher one, which on a lower one, and which don't answer. */
export interface RolloutStatus {
  readonly version: number
  readonly acting: readonly string[]
  readonly behind: ReadonlyArray<{ readonly instance: string, readonly version: number }>
  readonly silent: readonly string[]
}
