/**
 * Why an exchange with a backend server came to nothing.
 * - `unreachable`: no connection; `sent` is then false.
 * - `cut`: the connection broke before the answer was whole.
 * - `silent`: no byte came for longer than a healthy server takes.
 * - `abandoned`: the caller went, or the deadline passed.
 */
export interface SendFailure {
  readonly why: 'unreachable' | 'cut' | 'silent' | 'abandoned'
  /** Whether a byte of the request can have left. */
  readonly sent: boolean
  readonly detail: string
}
