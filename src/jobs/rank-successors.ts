import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from '../peers/member.js'

/**
 * Ranks the daemons that take a job over from an owner that is gone. The first one is the first in `rankOwners`; it is followed by the first
 * of each other failure domain, then by the second of each, so that a failure domain that can't reach the store delays the job once.
 *
 * @example
 * rankSuccessors('job-1', ['entry-0', 'entry-1', 'entry-2'], members)[0] // the daemon that takes it over at once
 */
export function rankSuccessors (job: string, candidates: readonly string[], members: readonly Member[]): readonly string[] {
  const domains = new Map(members.map(({ instance: { name, failureDomain } }) => [name, failureDomain]))
  const counts = new Map<string | undefined, number>()
  const ranked = rankOwners(job, candidates).map(name => {
    const domain = domains.get(name)
    const round = counts.get(domain) ?? 0
    counts.set(domain, round + 1)
    return { name, round }
  })
  return ranked.sort((a, b) => a.round - b.round).map(({ name }) => name)
}
