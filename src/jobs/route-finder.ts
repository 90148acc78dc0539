import type { Configuration } from '../config/configuration.js'
import { findRoute } from '../config/find-route.js'
import type { Route } from '../config/route.js'
import type { Clock } from '../kernel/clock.js'
import type { OwnedJob } from './owned-job.js'

interface RouteFinderOptions {
  readonly clock: Pick<Clock, 'now'>
  readonly getConfiguration: () => Configuration
}

/** Finds the routes of jobs in the current configuration and records since when a job has had none. */
export class RouteFinder {
  private readonly missedAt = new WeakMap<OwnedJob, number>()

  constructor (private readonly options: RouteFinderOptions) {}

  /** Returns the route of a job; undefined where the configuration has none that takes jobs. */
  find (job: OwnedJob): Route | undefined {
    const { clock, getConfiguration } = this.options
    const { version, routes = {} } = getConfiguration()
    const found = findRoute(routes, job.header.host, job.header.path)
    const route = found?.jobs === undefined ? undefined : found
    // Before the first configuration has loaded a missing route means nothing.
    if (route !== undefined || version === 0) this.missedAt.delete(job)
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
