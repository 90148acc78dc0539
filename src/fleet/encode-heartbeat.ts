import type { PeerMessage } from '../peers/peer-message.js'
import type { Heartbeat } from './heartbeat.js'
import { watchedKinds } from './watched-kinds.js'

/** Encodes a heartbeat as a message. It has values by position and no names of kinds, to save bandwidth: watchers send it to many daemons. */
export function encodeHeartbeat ({ next, kinds }: Heartbeat): PeerMessage {
  const parts = watchedKinds.flatMap(kind => [kinds.get(kind)?.published ?? -1, Math.round(kinds.get(kind)?.age ?? Infinity)])
  return { type: 'heartbeat', n: next, parts }
}
