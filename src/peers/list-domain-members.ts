import type { Member } from './member.js'

/** Names of the daemons of a failure domain that are alive, `self` among them even where it doesn't count itself as that. */
export function listDomainMembers (members: readonly Member[], self: { readonly name: string, readonly failureDomain: string }): readonly string[] {
  const alive = members.filter(({ state, instance }) => state === 'alive' && instance.failureDomain === self.failureDomain)
  return [...new Set([...alive.map(({ instance }) => instance.name), self.name])]
}
