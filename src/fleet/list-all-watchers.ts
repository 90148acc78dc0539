import { rankOwners } from '../coordination/rank-owners.js'
import type { Settings } from '../kernel/settings.js'
import type { Member } from '../peers/member.js'
import { listWatchers } from './list-watchers.js'

/** Lists the watchers of all failure domains as a daemon sees them, which may not be listed as alive yet, in the order in which they read for the fleet. */
export function listAllWatchers (members: readonly Member[], { instance, failureDomain }: Pick<Settings, 'instance' | 'failureDomain'>): readonly string[] {
  const domains = new Set([failureDomain, ...members.map(member => member.instance.failureDomain)])
  return rankOwners('store read', [...domains].flatMap(domain => listWatchers(members, domain, domain === failureDomain ? instance : undefined)))
}
