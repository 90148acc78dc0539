import type { Configuration } from '../config/configuration.js'
import { findRoute } from '../config/find-route.js'
import type { Route } from '../config/route.js'
import type { Clock } from '../kernel/clock.js'
import type { OwnedJob } from './owned-job.js'

interface RouteFinderOptions {
  readonly clock: Pick<Clock, 'now'>
  readonly getConfiguration: () => Configuration
}

/** The routes of jobs by the configuration in force, and since when a job has had none. */
export class RouteFinder {
  private readonly missedAt = new WeakMap<OwnedJob, number>()

  constructor (private readonly options: RouteFinderOptions) {}

  /** The route of a job, if the configuration has it. */
  find (job: OwnedJob): Route | undefined {
    const { clock, getConfiguration } = this.options
    const { version, routes = {} } = getConfiguration()
    const route = findRoute(Object.values(routes), job.header.host, job.header.path)
    // A daemon that knows no configuration yet knows nothing of routes either.
    if (route !== undefined || version === 0) this.missedAt.delete(job)
    else if (!this.missedAt.has(job)) this.missedAt.set(job, clock.now())
    return route
  }

  /** Since when the job's route isn't in the configuration, monotonic ms. */
  findMissedAt (job: OwnedJob): number | undefined {
    return this.missedAt.get(job)
  }
}
