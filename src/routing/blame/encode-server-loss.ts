import type { PeerMessage } from '../../peers/peer-message.js'
import type { ServerPartLoss } from './server-part-loss.js'

/** Builds the message about a lost server at `now`, monotonic ms. */
export function encodeServerLoss ({ server, at, daemon, id, runs }: ServerPartLoss, now: number): PeerMessage {
  return { type: 'part losses', server, daemon, ...id !== undefined && { id }, ago: Math.round(now - at), runs: runs.map(({ parts, began }) => ({ parts, ago: Math.round(now - began) })) }
}
