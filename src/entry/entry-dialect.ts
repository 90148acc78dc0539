import type { IncomingMessage } from 'node:http'
import type { JobCall } from '../jobs/job-call.js'
import type { JobItem } from '../jobs/job-item.js'
import type { ResultsPage } from '../jobs/results-page.js'

/** What the door reads of the head of a caller's request. */
interface RequestHead {
  readonly id: string
  readonly host: string
  /** Without its query. */
  readonly path: string
  /** ms that the caller will wait; undefined where it doesn't say. */
  readonly left: number | undefined
  readonly resumeAfter: string | undefined
  readonly key: string | undefined
  /** To be passed on to the server. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
}

/** How callers and the platform speak to this fleet's daemons. */
export interface EntryDialect {
  readHead (req: IncomingMessage): RequestHead
  /** A call about jobs that goes to a path of its own; undefined for any other request. */
  readJobCall (req: IncomingMessage): JobCall | undefined
  /** The items of a submitted job; undefined where the body holds none. */
  readItems (body: Buffer): readonly JobItem[] | undefined
  showResults (page: ResultsPage): unknown
  isReadinessProbe (req: IncomingMessage): boolean
  /** The failure domain of a caller that asks for addresses; undefined for any other request. */
  readAddressRequest (req: IncomingMessage): { readonly failureDomain: string } | undefined
  /** The answer to that question; `keep` in ms. */
  showAddresses (addresses: readonly string[], keep: number): unknown
}
