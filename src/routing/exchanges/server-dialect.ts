import type { ServerReport } from './server-report.js'

/** Builds and reads the headers that this fleet's backend servers use. */
export interface ServerDialect {
  /** Returns the headers that the system adds to one send; `caller` names the caller whose key the request had. Times in ms. */
  buildHeaders (send: { readonly instance: string, readonly left?: number, readonly resumeAfter?: string, readonly caller?: string }): Readonly<Record<string, string>>
  /** How servers state which of their processes answers; undefined where they don't. */
  readonly report?: ServerReport
  /** Whether the answer states that its server did not run a request; which one, `readRequestId` tells. */
  isNotRun (status: number, headers: AnswerHeaders): boolean
  /** Lists the ids of the prompt's parts that other requests may share: all but the last, which belongs to the request or its session. */
  listSharedParts (headers: RequestHeaders): readonly string[]
  /** Returns the id of the request that the answer belongs to, if it has one. */
  readRequestId (headers: AnswerHeaders): string | undefined
}

type RequestHeaders = Readonly<Record<string, string | readonly string[] | undefined>>
type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>
