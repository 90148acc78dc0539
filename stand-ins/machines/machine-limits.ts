/** What a process may use on a machine. */
export interface MachineLimits {
  /** In MB. */
  readonly memory: number
  /** Open files and connections. */
  readonly descriptors: number
}
