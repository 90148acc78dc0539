/** The properties of a request to a model that routing needs. */
export interface ModelRequest {
  readonly stream: boolean
  /** Whether the stream ends with its token usage. */
  readonly includeUsage: boolean
  /** Beginning of the prompt, which engines may have in their prefix cache. */
  readonly prefix: string
  /** Returns the body for an engine that continues the answer after the given tokens. */
  resume (tokens: readonly string[]): Buffer
}
