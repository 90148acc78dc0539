import type { Route } from '../../config/route.js'

/** Last runs of a route that are remembered. */
const RUNS_KEPT = 64
/** Fewer runs than these tell too little of the next one. */
const MIN_RUNS = 4
/** Most routes that are remembered; those that ran longest ago are forgotten first. */
const MAX_ROUTES = 2_000

/** How long the last runs of each route took, from the first send to the end. Changes of the configuration leave what is known of a route. */
export class RunTimes {
  private readonly times = new Map<string, readonly number[]>()

  record (route: Route, time: number): void {
    const key = buildKey(route)
    const known = this.times.get(key) ?? []
    this.times.delete(key)
    this.times.set(key, [...known.slice(1 - RUNS_KEPT), time])
    if (this.times.size > MAX_ROUTES) this.times.delete(this.times.keys().next().value!)
  }

  /** Returns the longest of the last runs, ms; undefined where too few are known. */
  findLongest (route: Route): number | undefined {
    const known = this.times.get(buildKey(route)) ?? []
    return known.length < MIN_RUNS ? undefined : Math.max(...known)
  }
}

function buildKey ({ host, pathPrefix }: Route): string {
  return `${host}${pathPrefix}`
}
