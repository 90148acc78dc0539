import type { Route } from '../config/route.js'

/** Added to the time after which items may be abandoned, ms, as an allowance for clock skew. */
const ABANDON_MARGIN = 3_000
/**
 * How long the route of a job must be missing before its items are abandoned, ms. A daemon that has just started or was partitioned may still
 * use a configuration older than the route; a connected daemon receives the newest within 2 s.
 */
const ROUTE_GONE_AFTER = 5_000

interface JobTimes {
  readonly route: Route | undefined
  /** Since when the route has been missing from this daemon's configuration. */
  readonly routeMissedAt: number | undefined
  readonly acceptedAt: number
  readonly now: number
}

/** Returns why an item of a job is to be abandoned, for the log; undefined where it isn't. Times in monotonic ms. */
export function findAbandonReason ({ route, routeMissedAt, acceptedAt, now }: JobTimes): string | undefined {
  if (route === undefined) return routeMissedAt !== undefined && now >= routeMissedAt + ROUTE_GONE_AFTER ? 'its route no longer exists' : undefined
  const after = route.jobs?.giveUpAfter ?? 0
  return after > 0 && now > acceptedAt + after + ABANDON_MARGIN ? 'its time limit has passed' : undefined
}
