import type { PeerMessage } from './peer-message.js'

/** Handles one type of message from other daemons. */
export interface PeerHandler {
  readonly type: string
  handle (message: PeerMessage, from: string): void
}
