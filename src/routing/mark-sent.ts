import type { Dispatcher } from 'undici'

/** Where a request's `opaque` says whether it can have been sent. */
interface SentMark { sent: boolean }

/**
 * An interceptor that sets `sent` in the request's `opaque` before its first byte is written. A request that fails
 * while it waits for a connection looks, by its error alone, much like one that was cut half way; its symptom would
 * be "not run" said of a request that ran. undici starts a request right before it writes it, so that a request
 * never started was never written; the mark errs only towards `sent`.
 */
export const markSent: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
  const mark = (options as { readonly opaque?: SentMark }).opaque
  const start = handler.onRequestStart?.bind(handler)
  handler.onRequestStart = (controller, context) => {
    if (mark !== undefined) mark.sent = true
    start?.(controller, context)
  }
  return dispatch(options, handler)
}
