/** A loss in a message: the server, and the time since the loss, ms. */
interface SentLoss { readonly server: string, readonly ago: number }

/** What a daemon knows about a suspect fingerprint, as sent to others. */
export interface SuspectRecord {
  readonly fingerprint: string
  readonly losses: readonly SentLoss[]
  readonly cleared: readonly SentLoss[]
  readonly released: readonly SentLoss[]
  readonly passes: number
}
