import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from '../peers/member.js'

const MAX_ADDRESSES = 3

/**
 * Chooses at most three daemons for a caller, from distinct failure domains where possible. The choice depends on the caller, which spreads
 * callers over all daemons. Members that are leaving, suspect or not ready are left out.
 */
export function chooseAddresses (members: readonly Member[], caller: string): readonly Member[] {
  const open = new Map(members.filter(({ state, ready }) => state === 'alive' && ready).map(member => [member.instance.name, member]))
  const ranked = rankOwners(caller, [...open.keys()]).map(name => open.get(name)!)
  const first = ranked.filter((member, i) => ranked.findIndex(other => other.instance.failureDomain === member.instance.failureDomain) === i)
  return [...first, ...ranked.filter(member => !first.includes(member))].slice(0, MAX_ADDRESSES)
}
