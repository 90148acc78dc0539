/** Header names and marks by which this fleet's backend servers are spoken to. Header values are as HTTP has them. */
export interface ServerDialect {
  /** Headers that the system sets itself, for one send. Times in ms. */
  buildHeaders (send: { readonly instance: string, readonly left?: number, readonly resumeAfter?: string }): Readonly<Record<string, string>>
  /** Whether the answer says that its server did not run the request. */
  isNotRun (status: number, headers: AnswerHeaders): boolean
  /** The request that the answer belongs to; undefined where it doesn't say. */
  readRequestId (headers: AnswerHeaders): string | undefined
}

type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>
