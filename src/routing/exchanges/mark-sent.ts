import type { Dispatcher } from 'undici'

/** The `opaque` value of a request: whether it may have been sent, and whether it may still start. */
interface SentMark { sent: boolean, readonly mayStart: () => boolean }

/**
 * An undici interceptor that sets `sent` in the request's `opaque` before its first byte is written. The error alone
 * doesn't tell a request that failed while waiting for a connection from one that was cut while being sent. undici starts
 * a request right before writing it, so that one that was never started was never written; the mark errs only towards
 * `sent`.
 *
 * Checks `mayStart` at the same point. A request may wait for a connection while the process is paused, and after the
 * pause undici writes it before any timer runs. Checked here, it can't start late, save for a pause within this turn.
 * Without the check, an item of a cancelled job could begin after the bound for cancellations.
 */
export const markSent: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
  const mark = (options as { readonly opaque?: SentMark }).opaque
  const start = handler.onRequestStart?.bind(handler)
  handler.onRequestStart = (controller, context) => {
    if (mark?.mayStart() === false) return controller.abort(new Error('the request may no longer start'))
    if (mark !== undefined) mark.sent = true
    start?.(controller, context)
  }
  return dispatch(options, handler)
}
