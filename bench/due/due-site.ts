/** A user's fleet in the simulation of due times. Times in ms. */
export interface DueSite {
  readonly name: string
  readonly daemons: number
  readonly servers: number
  /** Items that a server completes per ms besides its online requests. */
  readonly pace: number
  readonly urgent: {
    readonly jobs: number
    readonly callers: number
    /** Time within which all urgent jobs are submitted. */
    readonly spread: number
    readonly items: { readonly from: number, readonly spread: number }
    readonly window: { readonly from: number, readonly spread: number }
  }
}
