import { Err, type Result } from 'ts-results'
import type { Route } from '../config/route.js'
import type { BodyFailure } from '../http/body-failure.js'
import type { Clock } from '../kernel/clock.js'
import type { Ending } from '../routing/ending/ending.js'
import type { CallerExchange } from './caller-exchange.js'

/** How long the body of a request that comes too late is read, ms: while it arrives, its caller may not read a refusal. */
const LATE_BODY = 150

interface TimedRequest {
  readonly route: Route
  /** Monotonic ms. */
  readonly deadline: number
}

/**
 * Waits for the body of a request; fails as `late` where it isn't whole when the request can't start before this process ends, and as `slow`
 * where it isn't when its time is over.
 */
export async function readBodyInTime ({ body, memory }: CallerExchange, request: TimedRequest, { clock, ending }: { readonly clock: Clock, readonly ending: Ending }): Promise<Result<Buffer, BodyFailure | 'late' | 'slow'>> {
  if (body.result !== undefined) return body.result
  memory.setGiveUp(() => body.giveUp())
  let stop = (): void => {}
  let cancel = (): void => {}
  const late = new Promise<Result<Buffer, 'late' | 'slow'>>(resolve => {
    stop = ending.watchStart(request, () => { clock.after(LATE_BODY, () => resolve(Err('late'))) })
    cancel = clock.after(Math.max(0, request.deadline - clock.now()), () => resolve(Err('slow')))
  })
  try {
    return await Promise.race([body.whole, late])
  } finally {
    stop()
    cancel()
    memory.setGiveUp()
  }
}
