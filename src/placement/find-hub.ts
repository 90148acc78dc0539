import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from '../peers/member.js'

/** The daemon that passes load counts on for a failure domain; undefined where no daemon of it is alive. */
export function findHub (members: readonly Member[], failureDomain: string): string | undefined {
  const near = members.filter(({ state, run, instance }) => state === 'alive' && run > 0 && instance.failureDomain === failureDomain)
  return rankOwners('load hub', near.map(({ instance }) => instance.name))[0]
}
