/**
 * Why an exchange with a backend server failed.
 * - `unreachable`: no connection could be opened; `sent` is then false.
 * - `cut`: the connection broke before the answer was complete.
 * - `silent`: no byte arrived within the timeout.
 * - `abandoned`: the caller left, or the deadline passed.
 * - `invalid`: the HTTP client can't send the request as it is, to no server; `sent` is then false. The failure doesn't count against the server.
 * - `withheld`: `mayStart` prevented the request; `sent` is true if only its last byte is missing. The failure doesn't count against the server.
 * - `closed`: before the first byte was sent, the server stopped taking new requests, or another process took its place; `sent` is then
 *   false. The failure doesn't count against the server.
 */
export interface SendFailure {
  readonly why: 'unreachable' | 'cut' | 'silent' | 'abandoned' | 'withheld' | 'closed' | 'invalid'
  /** Whether any byte of the request may have been sent. */
  readonly sent: boolean
  readonly detail: string
}
