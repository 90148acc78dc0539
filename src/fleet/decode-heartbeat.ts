import type { PeerMessage } from '../peers/peer-message.js'
import type { Heartbeat } from './heartbeat.js'
import { watchedKinds } from './watched-kinds.js'

/** Decodes a heartbeat's message; kinds for which it has no values are left out. */
export function decodeHeartbeat ({ n, parts }: PeerMessage): Heartbeat {
  const numbers = Array.isArray(parts) ? parts.map(Number) : []
  const kinds = watchedKinds.flatMap((kind, i) => {
    const [published, age] = numbers.slice(2 * i, 2 * i + 2)
    return published === undefined || age === undefined ? [] : [[kind, { published, age }] as const]
  })
  return { next: Number(n), kinds: new Map(kinds) }
}
