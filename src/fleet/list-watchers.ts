import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from '../peers/member.js'

/** Daemons of each failure domain that watch the store for the others; two, so that one may fail without a gap. */
const WATCHERS_PER_DOMAIN = 2

/** Lists the daemons of a failure domain that watch the store, by rank among the alive ones and `self`, which may not be listed as alive yet. */
export function listWatchers (members: readonly Member[], failureDomain: string, self?: string): readonly string[] {
  const candidates = members.filter(({ state, instance }) => state === 'alive' && instance.failureDomain === failureDomain).map(({ instance }) => instance.name)
  return rankOwners('store watch', [...new Set(self === undefined ? candidates : [...candidates, self])]).slice(0, WATCHERS_PER_DOMAIN)
}
