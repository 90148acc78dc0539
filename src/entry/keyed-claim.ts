/** How the run that a claim stands for ended, as far as it is recorded. */
type ClaimOutcome =
  | { readonly type: 'open' }
  /** `body` in base64; left out where it was too long. */
  | { readonly type: 'answered', readonly status: number, readonly contentType?: string, readonly body?: string }
  | { readonly type: 'unknown', readonly cause: string }

/**
 * The durable claim on one key of one caller, the object `keyed/HASH`. Whoever created it is the only one that ever
 * sends the request. Times in wall-clock ms.
 */
export interface KeyedClaim {
  readonly id: string
  readonly holder: string
  /** When the holder's process started: tells an earlier run of the same instance. */
  readonly run: number
  /** Hash of what is asked. */
  readonly fingerprint: string
  readonly at: number
  /** When the holder gives the run up at the latest. */
  readonly until: number
  readonly outcome: ClaimOutcome
}
