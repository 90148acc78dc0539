/** The last read of the store in which the holder of work checked that the work is still to be done. */
export interface LastRead {
  /** Start of the last successful read, in monotonic ms; undefined after a pause of the process. */
  readonly seen?: number
  /** Whether the last read failed because the store didn't answer. */
  readonly unreachable: boolean
}
