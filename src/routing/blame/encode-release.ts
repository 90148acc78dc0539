import type { PeerMessage } from '../../peers/peer-message.js'

/** Builds the message about a released part whose refusal would have held for another `left` ms. */
export function encodeRelease (part: string, left: number): PeerMessage {
  return { type: 'part released', part, left: Math.round(left) }
}
