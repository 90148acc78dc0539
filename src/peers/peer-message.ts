/** A message between daemons. `type` selects the handlers; a receiver ignores unknown types and fields. */
export interface PeerMessage {
  readonly type: string
  readonly [field: string]: unknown
}
