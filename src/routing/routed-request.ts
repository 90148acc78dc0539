import type { Route } from '../config/route.js'

/** A caller's request that matches a route. Times in monotonic ms. */
export interface RoutedRequest {
  readonly id: string
  readonly route: Route
  /** The caller whose key the request had; undefined where none is needed. */
  readonly caller?: string
  /** 0 is the highest. */
  readonly priority: number
  readonly method: string
  /** Path and query, as the caller sent them. */
  readonly path: string
  /** Headers to forward: without those of the connection and those that the system sets itself. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body?: Buffer
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly resumeAfter?: string
  /** Id of the attempt that brought the stream's first event, if the caller resumes it and names one. */
  readonly resumes?: string
  /** Affinity key: the beginning of its prompt that other requests share. */
  readonly key?: string
  /** Its size, see `estimateSize`; undefined if it doesn't tell. */
  readonly size?: number
  readonly arrived: number
  /** The caller's own deadline, or its route's. */
  readonly deadline: number
  /** When the caller first sent it, estimated from the time left that it gives; `arrived` for a first attempt. */
  readonly asked: number
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal
  /** Memory for an answer that is read whole before it is passed on. */
  readonly memory?: { readonly grow: (bytes: number) => boolean, readonly shrink: (bytes: number) => void }
}
