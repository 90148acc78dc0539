/** When a holder last saw that a job goes on. */
export interface JobCheck {
  /** Begin of the last look that succeeded, in monotonic ms; absent after a pause of the process. */
  readonly seen?: number
  /** Whether the last look failed because the platform gave no answer. */
  readonly unreachable: boolean
}
