/** One HTTP call to the metadata store; `body` is sent as JSON. */
export interface HttpCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly body?: unknown
}
