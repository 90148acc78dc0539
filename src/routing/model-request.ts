/** What routing reads of a request to a model. */
export interface ModelRequest {
  readonly stream: boolean
  /** Whether a stream ends with the counts of its tokens. */
  readonly includeUsage: boolean
  /** Beginning of the prompt, which engines may hold in their prefix cache. */
  readonly prefix: string
  /** The body with the answer so far, for an engine that continues it. */
  resume (tokens: readonly string[]): Buffer
}
