import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from '../peers/member.js'

/** Daemons of each failure domain that watch the store and tell the others: one may fail without a gap. */
const WATCHERS_PER_DOMAIN = 2

/** The daemons of a failure domain that watch the store: by rank among those that are alive, and `self`, which may not see itself as that yet. */
export function listWatchers (members: readonly Member[], failureDomain: string, self?: string): readonly string[] {
  const candidates = members.filter(({ state, instance }) => state === 'alive' && instance.failureDomain === failureDomain).map(({ instance }) => instance.name)
  return rankOwners('store watch', [...new Set(self === undefined ? candidates : [...candidates, self])]).slice(0, WATCHERS_PER_DOMAIN)
}
