import { isSmallFleet } from '../peers/is-small-fleet.js'
import type { Member } from '../peers/member.js'
import { listWatchers } from './list-watchers.js'

/**
 * Lists the daemons to which a watcher of `failureDomain` publishes changes: all daemons of a small fleet, otherwise those of its own
 * domain and the watchers of the other domains.
 */
export function listRecipients (members: readonly Member[], failureDomain: string): readonly string[] {
  if (isSmallFleet(members)) return members.map(({ instance }) => instance.name)
  const domainMembers = members.filter(({ instance }) => instance.failureDomain === failureDomain).map(({ instance }) => instance.name)
  const otherDomains = new Set(members.map(({ instance }) => instance.failureDomain))
  otherDomains.delete(failureDomain)
  return [...domainMembers, ...[...otherDomains].flatMap(domain => listWatchers(members, domain))]
}
