import type { IncomingMessage } from 'node:http'
import type { JobCall } from '../jobs/job-call.js'
import type { JobItem } from '../jobs/job-item.js'
import type { ResultsPage } from '../jobs/results-page.js'

/** What the entry reads from the request line and headers of a caller's request. */
interface RequestHead {
  readonly id: string
  readonly host: string
  /** Without the query. */
  readonly path: string
  /** How long the caller will wait, ms; undefined where the request doesn't tell. */
  readonly timeLeft: number | undefined
  readonly resumeAfter: string | undefined
  /** Id of the attempt that brought the first event of the stream that it resumes. */
  readonly resumes: string | undefined
  readonly affinityKey: string | undefined
  /** Tokens of its prompt and the expected number of generated ones; undefined where the request doesn't tell. */
  readonly tokens: { readonly prompt: number, readonly output: number } | undefined
  /** Headers to be forwarded to the server. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
}

/** Decodes and encodes the HTTP requests of callers and of the platform to this fleet's daemons. */
export interface EntryDialect {
  readHead (req: IncomingMessage): RequestHead
  /** Reads the caller's key; undefined where the request has none. */
  readKey (req: IncomingMessage): string | undefined
  /** Reads a request about a submitted job; undefined for any other request. */
  readJobCall (req: IncomingMessage): JobCall | undefined
  /** Reads the items of a submitted job; undefined where the body is invalid. */
  readItems (body: Buffer): readonly JobItem[] | undefined
  showResults (page: ResultsPage): unknown
  isReadinessProbe (req: IncomingMessage): boolean
  /** Reads the caller's failure domain from a request for entry addresses; undefined for any other request. */
  readAddressRequest (req: IncomingMessage): { readonly failureDomain: string } | undefined
  /** Builds the response to a request for entry addresses; `keep` is the cache time in ms. */
  showAddresses (addresses: readonly string[], keep: number): unknown
}
