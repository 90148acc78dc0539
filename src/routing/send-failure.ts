/**
 * Why an exchange with a backend server came to nothing.
 * - `unreachable`: no connection; `sent` is then false.
 * - `cut`: the connection broke before the answer was whole.
 * - `silent`: no byte came for longer than a healthy server takes.
 * - `abandoned`: the caller went, or the deadline passed.
 * - `withheld`: it may not begin any more by its own `mayStart`; `sent` is then false, and the server did nothing wrong.
 */
export interface SendFailure {
  readonly why: 'unreachable' | 'cut' | 'silent' | 'abandoned' | 'withheld'
  /** Whether a byte of the request can have left. */
  readonly sent: boolean
  readonly detail: string
}
