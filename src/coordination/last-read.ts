/** When the holder of work last saw in the store that the work goes on. */
export interface LastRead {
  /** Start of the last successful read, in monotonic ms; undefined after a pause of the process. */
  readonly seen?: number
  /** Whether the last read failed because the store didn't answer. */
  readonly unreachable: boolean
}
