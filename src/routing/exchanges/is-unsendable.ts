/** Codes of the errors with which undici refuses a request because of its path, method, headers or length. */
const REFUSALS = ['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED', 'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH']

/**
 * Whether the HTTP client refused to send a request as it is. The client refuses an invalid address of a server by the same code;
 * that concerns the server and not the request.
 */
export function isUnsendable (error: Error & { readonly code?: unknown }, origin: string): boolean {
  return REFUSALS.includes(String(error.code)) && URL.canParse(origin)
}
