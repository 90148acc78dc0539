import type { Route } from '../config/route.js'

/** A caller's request that a route takes. Times in monotonic ms. */
export interface RoutedRequest {
  readonly id: string
  readonly route: Route
  readonly method: string
  /** With its query, as the caller sent it. */
  readonly path: string
  /** What is passed on: without what concerns the connection alone or is set by the system itself. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body?: Buffer
  /** Id of the last event that the caller has, where it resumes a stream. */
  readonly resumeAfter?: string
  /** The beginning of its prompt that other requests share. */
  readonly key?: string
  readonly arrived: number
  /** By which it must be answered: the caller's own, or its route's. */
  readonly deadline: number
  /** When its caller first asked, as far as the time that it gives tells; `arrived` for a first try. */
  readonly asked: number
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal
}
