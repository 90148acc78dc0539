import type { Configuration } from '../config/configuration.js'
import type { Route } from '../config/route.js'
import type { Clock } from '../kernel/clock.js'
import { findJobRoute } from './find-job-route.js'
import type { OwnedJob } from './owned-job.js'

interface RouteFinderOptions {
  readonly clock: Pick<Clock, 'now'>
  readonly getConfiguration: () => Configuration
}

/** Finds the routes that jobs belong to in the current configuration, and records since when a job has had none. */
export class RouteFinder {
  private readonly missedAt = new WeakMap<OwnedJob, number>()

  constructor (private readonly options: RouteFinderOptions) {}

  /** Returns the route of a job; undefined where the configuration no longer has it. */
  find (job: OwnedJob): Route | undefined {
    const { clock, getConfiguration } = this.options
    const { version, routes = {} } = getConfiguration()
    const route = findJobRoute(routes, job.header)
    // A configuration older than the one that accepted the job may not have the route yet.
    if (route !== undefined || version < Math.max(1, job.header.configuration ?? 0)) this.missedAt.delete(job)
    else if (!this.missedAt.has(job)) this.missedAt.set(job, clock.now())
    return route
  }

  /** Whether the route of a job leads to the service. */
  hasService (job: OwnedJob, service: string): boolean {
    return this.find(job)?.services.some(({ service: other, weight }) => other === service && weight > 0) === true
  }

  /** Returns since when the job has had no route, monotonic ms; undefined where it has one. */
  findMissedAt (job: OwnedJob): number | undefined {
    return this.missedAt.get(job)
  }
}
