import type { Member } from './member.js'

/** Lists the names of the alive daemons of the failure domain of `self`, and `self` in any case. */
export function listDomainMembers (members: readonly Member[], self: { readonly name: string, readonly failureDomain: string }): readonly string[] {
  const alive = members.filter(({ state, instance }) => state === 'alive' && instance.failureDomain === self.failureDomain)
  return [...new Set([...alive.map(({ instance }) => instance.name), self.name])]
}
