import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from './member.js'

/** The daemon that passes messages on and reads ends of jobs for its failure domain; undefined where no daemon of it is alive. */
export function findDomainLeader (members: readonly Member[], failureDomain: string): string | undefined {
  const candidates = members.filter(({ state, run, instance }) => state === 'alive' && run > 0 && instance.failureDomain === failureDomain)
  return rankOwners('hub', candidates.map(({ instance }) => instance.name))[0]
}
