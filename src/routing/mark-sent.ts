import type { Dispatcher } from 'undici'

/** Where a request's `opaque` says whether it can have been sent, and is asked whether it still may be. */
interface SentMark { sent: boolean, readonly mayStart: () => boolean }

/**
 * An interceptor that sets `sent` in the request's `opaque` before its first byte is written. A request that fails
 * while it waits for a connection looks, by its error alone, much like one that was cut half way; its symptom would
 * be "not run" said of a request that ran. undici starts a request right before it writes it, so that a request
 * never started was never written; the mark errs only towards `sent`.
 *
 * The same place asks `mayStart`. Between the decision to send and the first byte a request may wait for a connection,
 * and the process may be frozen meanwhile: at the thaw the connection stands, and undici writes before anything else has
 * run. Its symptom was an item of a cancelled job that began after the bound. Here nothing can come between the answer
 * and the bytes but a freeze within the same turn, of some microseconds.
 */
export const markSent: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
  const mark = (options as { readonly opaque?: SentMark }).opaque
  const start = handler.onRequestStart?.bind(handler)
  handler.onRequestStart = (controller, context) => {
    if (mark?.mayStart() === false) return controller.abort(new Error('it may not begin any more'))
    if (mark !== undefined) mark.sent = true
    start?.(controller, context)
  }
  return dispatch(options, handler)
}
