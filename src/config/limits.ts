/** Limits that hold for every caller. Sizes in bytes, times in ms. */
export interface Limits {
  readonly bodyBytes: number
  readonly fileBytes: number
  /** Longest wait for a place on a server before an online request is refused. */
  readonly queueWait: number
  /** Longest time an online request may take in all. */
  readonly deadline: number
  /** How long a caller may keep an answer of /v1/addresses. */
  readonly addressKeep: number
  /** How long a job and its results stay after they were read. */
  readonly resultKeep: number
}
