import type { MemberRecord } from '../coordination/membership/member-record.js'
import type { Instance } from '../store/instance.js'

/** The pool of the instances that run daemons. */
const ENTRY_POOL = 'entry'

/** Builds the instance that a membership record describes. `port` is 0 until the daemon listens. */
export function readInstance ({ name, data, leaving }: MemberRecord): Instance {
  return {
    name,
    pool: ENTRY_POOL,
    host: String(data.host ?? ''),
    port: Number(data.port ?? 0),
    peerPort: Number(data.peerPort ?? 0),
    failureDomain: String(data.failureDomain ?? ''),
    region: String(data.region ?? ''),
    state: leaving ? 'leaving' : 'live',
    ...data.cores !== undefined && { cores: Number(data.cores) }
  }
}
