import type { JobRoute } from './job-route.js'

/** The stored description of a job, without its items and results. */
export interface JobHeader {
  readonly host: string
  /** The path that the job was submitted to. */
  readonly path: string
  /** The route that accepted it; absent in jobs of former releases, whose path selects it. */
  readonly route?: JobRoute
  /** Version of the configuration that had the route. */
  readonly configuration?: number
  /** The caller whose key the submission had; undefined where none is needed. */
  readonly caller?: string
  /** Time of acceptance, wall-clock ms. */
  readonly submittedAt: number
  /** Number of stored objects that hold the items. */
  readonly parts: number
  readonly total: number
  readonly tokens: number
  /** The daemon that accepted the job, and when its process started, wall-clock ms. */
  readonly owner: string
  readonly run: number
}
