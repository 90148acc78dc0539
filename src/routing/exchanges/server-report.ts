/** How a server is asked about the process that answers. */
export interface ServerReport {
  /** Path of a request that needs no slot. */
  readonly path: string
  /** Reads the start of the process from the answer's body, as its entry in the list states it; undefined if it isn't stated. */
  readonly readStart: (body: Buffer) => number | undefined
}
