import type { Route } from '../config/route.js'

/** Past the time from which an item may be given up, ms, for clocks that differ. */
const ABANDON_MARGIN = 3_000
/**
 * How long the route of a job must be missing before its items are given up for that, ms. A daemon that has just started, or
 * was cut off, may go by a configuration from before the route; each daemon in touch has the newest within 2 s.
 */
const ROUTE_GONE_AFTER = 5_000

interface JobTimes {
  readonly route: Route | undefined
  /** Since when the route isn't in the configuration known here. */
  readonly routeMissedAt: number | undefined
  readonly acceptedAt: number
  readonly now: number
}

/** Why an item ends without having been done, if it does. Times in monotonic ms. */
export function findAbandonReason ({ route, routeMissedAt, acceptedAt, now }: JobTimes): string | undefined {
  if (route === undefined) return routeMissedAt !== undefined && now >= routeMissedAt + ROUTE_GONE_AFTER ? 'its route has gone' : undefined
  const after = route.jobs?.giveUpAfter ?? 0
  return after > 0 && now > acceptedAt + after + ABANDON_MARGIN ? 'its time is over' : undefined
}
