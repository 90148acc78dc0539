/** What one daemon tells another. `type` selects the handler; a receiver ignores types and fields it doesn't know. */
export interface PeerMessage {
  readonly type: string
  readonly [field: string]: unknown
}
