import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from '../peers/member.js'

const MAX_ADDRESSES = 3

/**
 * The daemons that a caller should use: at most three, each of another failure domain while there are such, another
 * choice for another caller, so that callers spread over all. One that leaves, is suspect or not ready isn't named.
 */
export function chooseAddresses (members: readonly Member[], caller: string): readonly Member[] {
  const open = new Map(members.filter(({ state, ready }) => state === 'alive' && ready).map(member => [member.instance.name, member]))
  const ranked = rankOwners(caller, [...open.keys()]).map(name => open.get(name)!)
  const first = ranked.filter((member, i) => ranked.findIndex(other => other.instance.failureDomain === member.instance.failureDomain) === i)
  return [...first, ...ranked.filter(member => !first.includes(member))].slice(0, MAX_ADDRESSES)
}
