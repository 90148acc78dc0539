import type { Dispatcher } from 'undici'
import { isFinalStatus } from './is-final-status.js'
import { BurstLimit } from '../kernel/burst-limit.js'

/** Most interim heads, and most small parts of a body, that an answer may have in a second. */
const INTERIM_HEADS = { count: 100, period: 1_000 }
const SMALL_PARTS = { count: 4_000, period: 1_000 }
/** Length below which a part of a body costs more for being a part than for its bytes, bytes. */
const SMALL_PART = 64
const FIRST_FINAL_STATUS = 200

/**
 * Returns a handler that aborts an answer whose status no answer can have, and one of ever more interim heads or tiny chunks. Each costs a call, so that a faulty server that
 * sends them as fast as they are read would take all processor time.
 */
export function limitAnswer (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
  const start = handler.onResponseStart?.bind(handler)
  const receive = handler.onResponseData?.bind(handler)
  let heads: BurstLimit | undefined
  let parts: BurstLimit | undefined
  handler.onResponseStart = (controller, status, ...rest) => {
    if (status < FIRST_FINAL_STATUS && (heads ??= new BurstLimit(INTERIM_HEADS)).isPassed()) return controller.abort(new Error('its interim heads have no end'))
    if (status >= FIRST_FINAL_STATUS && !isFinalStatus(status)) return controller.abort(new Error(`no answer has status ${status}`))
    start?.(controller, status, ...rest)
  }
  handler.onResponseData = (controller, part) => {
    if (part.length < SMALL_PART && (parts ??= new BurstLimit(SMALL_PARTS)).isPassed()) return controller.abort(new Error('its tiny chunks have no end'))
    return receive?.(controller, part)
  }
  return handler
}
