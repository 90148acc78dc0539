/** The recorded outcome of the run that a claim covers. */
type ClaimOutcome =
  | { readonly type: 'open' }
  /** `body` in base64; absent where it was too long to be recorded. */
  | { readonly type: 'answered', readonly status: number, readonly contentType?: string, readonly body?: string }
  | { readonly type: 'unknown', readonly cause: string }

/**
 * The durable claim on one idempotency key of one caller, stored as `keyed/HASH`. Only the process that created the claim may send the request.
 * Times in wall-clock ms.
 */
export interface KeyedClaim {
  readonly id: string
  readonly holder: string
  /** When the holder's process started; distinguishes it from earlier processes of the same instance. */
  readonly run: number
  /** Hash of the request. */
  readonly fingerprint: string
  readonly at: number
  /** The deadline by which the holder abandons the run. */
  readonly until: number
  readonly outcome: ClaimOutcome
}
