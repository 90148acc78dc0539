/** When the holder of work last saw in the store that the work goes on. */
export interface LastRead {
  /** Begin of the last look that succeeded, in monotonic ms; absent after a pause of the process. */
  readonly seen?: number
  /** Whether the last look failed because the platform gave no answer. */
  readonly unreachable: boolean
}
