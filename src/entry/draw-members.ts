import type { Random } from '../kernel/random.js'
import type { Member } from '../peers/member.js'

/**
 * Draws up to `count` members at random, each with a probability that grows with its processor time. Callers choose among the
 * addresses evenly, so that what a daemon gets follows from how often its address is drawn.
 *
 * Source: Efraimidis and Spirakis, "Weighted random sampling with a reservoir", 2006.
 */
export function drawMembers (members: readonly Member[], { count, random }: { readonly count: number, readonly random: Random }): readonly Member[] {
  const known = members.flatMap(({ instance: { cores = 0 } }) => cores > 0 ? [cores] : [])
  const least = known.length === 0 ? 1 : Math.min(...known)
  return members
    .map(member => ({ member, rank: random.next() ** (1 / (member.instance.cores ?? least)) }))
    .sort((a, b) => b.rank - a.rank)
    .slice(0, count)
    .map(({ member }) => member)
}
