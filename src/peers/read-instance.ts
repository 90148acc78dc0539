import type { MemberRecord } from '../coordination/member-record.js'
import type { Instance } from '../store/instance.js'

/** The pool of the instances that run daemons. */
const ENTRY_POOL = 'entry'

/** The instance that a member's record describes. `port` is 0 until it listens. */
export function readInstance ({ name, data, leaving }: MemberRecord): Instance {
  return {
    name,
    pool: ENTRY_POOL,
    host: String(data.host ?? ''),
    port: Number(data.port ?? 0),
    peerPort: Number(data.peerPort ?? 0),
    failureDomain: String(data.failureDomain ?? ''),
    region: String(data.region ?? ''),
    state: leaving ? 'leaving' : 'live'
  }
}
