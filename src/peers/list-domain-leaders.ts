import { findDomainLeader } from './find-domain-leader.js'
import type { Member } from './member.js'

/** Lists the domain leaders of all failure domains but `failureDomain`. */
export function listDomainLeaders (members: readonly Member[], failureDomain: string): readonly string[] {
  const others = new Set(members.map(({ instance }) => instance.failureDomain))
  others.delete(failureDomain)
  return [...others].flatMap(domain => findDomainLeader(members, domain) ?? [])
}
