import { rankOwners } from '../coordination/rank-owners.js'
import { listLarge } from '../peers/list-large.js'
import type { Member } from '../peers/member.js'

/** Daemons of each failure domain that watch the store for the others; two, so that one may fail without a gap. */
const WATCHERS_PER_DOMAIN = 2

/**
 * Lists the daemons of a failure domain that watch the store, by rank among the alive ones and `self`, which may not be listed as alive yet.
 * Those with much processor time rank first: a watcher sends each change to its domain.
 */
export function listWatchers (members: readonly Member[], failureDomain: string, self?: string): readonly string[] {
  const alive = members.filter(({ state, instance }) => state === 'alive' && instance.failureDomain === failureDomain)
  const large = new Set(listLarge(alive.map(({ instance: { name, cores = 0 } }) => ({ name, cores }))))
  const ranked = rankOwners('store watch', [...new Set([...alive.map(({ instance }) => instance.name), ...self === undefined ? [] : [self]])])
  return [...ranked.filter(name => large.has(name)), ...ranked.filter(name => !large.has(name))].slice(0, WATCHERS_PER_DOMAIN)
}
