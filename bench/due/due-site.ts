/** A user's fleet for the model of due times. Times in ms. */
export interface DueSite {
  readonly name: string
  readonly daemons: number
  readonly servers: number
  /** Items a ms that a server gives in what is idle and beside online requests. */
  readonly pace: number
  readonly urgent: {
    readonly jobs: number
    readonly callers: number
    /** They are submitted within this time. */
    readonly spread: number
    readonly items: { readonly from: number, readonly spread: number }
    readonly window: { readonly from: number, readonly spread: number }
  }
}
