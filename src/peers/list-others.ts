import type { Member } from './member.js'

/** Lists the names of the members other than `self`, in their order. */
export function listOthers (members: readonly Pick<Member, 'instance'>[], self: string): readonly string[] {
  return members.map(({ instance }) => instance.name).filter(name => name !== self)
}
