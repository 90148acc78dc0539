/** Limits that apply to every caller. Sizes in bytes, times in ms. */
export interface Limits {
  readonly bodyBytes: number
  readonly fileBytes: number
  /** Longest time an online request may queue for capacity before it is refused. */
  readonly queueWait: number
  /** Longest total time of an online request. */
  readonly deadline: number
  /** How long a caller may cache a response of /v1/addresses. */
  readonly addressKeep: number
  /** How long a job and its results are kept after the results were read. */
  readonly resultKeep: number
}
