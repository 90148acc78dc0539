import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from './member.js'

/**
 * Returns the leader of a failure domain, which forwards broadcasts and reads ended jobs for it; undefined if none of its
 * daemons is alive.
 */
export function findDomainLeader (members: readonly Member[], failureDomain: string): string | undefined {
  const candidates = members.filter(({ state, run, instance }) => state === 'alive' && run > 0 && instance.failureDomain === failureDomain)
  return rankOwners('hub', candidates.map(({ instance }) => instance.name))[0]
}
