/** A request to a backend server. */
export interface ServerRequest {
  readonly id: string
  readonly caller: string
  readonly service: string
  readonly pool: string
  readonly work: 'online' | 'batch'
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: Buffer
  /** Whether it may be sent again if it may have run. */
  readonly idempotent: boolean
  /**
   * Whether this daemon has sent it to the server before. It then has a connection of its own: a server may answer twice, and on the
   * connection of the earlier send its id wouldn't tell the second answer to that from the answer to this one.
   */
  readonly isRepeated?: boolean
  /** Ids of the parts of its prompt that other requests may share. */
  readonly parts?: readonly string[]
  /** Deadline of the answer, monotonic ms. */
  readonly deadline: number
  /** Requests in flight at which a server is full, whatever its own limit. */
  readonly limit: number
  readonly signal?: AbortSignal
  /** Whether its answer may be read just a few times a second, because it isn't relayed as it arrives. */
  readonly paced?: boolean
  /** Checked right before the first byte is written and before a last byte that was held back; if it returns false, no more is sent. */
  readonly mayStart?: () => boolean
}
