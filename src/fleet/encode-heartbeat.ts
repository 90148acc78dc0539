import type { PeerMessage } from '../peers/peer-message.js'
import type { Heartbeat } from './heartbeat.js'
import { watchedKinds } from './watched-kinds.js'

/** The message of a heartbeat. It is short, without names of kinds, as each watcher sends it to many daemons all the time. */
export function encodeHeartbeat ({ next, kinds }: Heartbeat): PeerMessage {
  const parts = watchedKinds.flatMap(kind => [kinds.get(kind)?.published ?? -1, Math.round(kinds.get(kind)?.age ?? Infinity)])
  return { type: 'heartbeat', n: next, parts }
}
