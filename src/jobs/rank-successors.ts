import { rankOwners } from '../coordination/rank-owners.js'
import type { Member } from '../peers/member.js'
import { isReleased } from './is-released.js'
import type { KnownJob } from './registry/known-job.js'

/**
 * Ranks the daemons that take a job over from an owner that is gone. The first one is the first in `rankOwners`; it is followed by the first
 * of each other failure domain, then by the second of each, so that a failure domain that can't reach the store delays the job once. A daemon
 * that released the job because it couldn't read it is the last.
 *
 * @example
 * rankSuccessors({ id: 'job-1', owner: 'entry-0', run: 1 }, ['entry-1', 'entry-2'], members)[0] // the daemon that takes it over at once
 */
export function rankSuccessors ({ id, owner, run }: Pick<KnownJob, 'id' | 'owner' | 'run'>, candidates: readonly string[], members: readonly Member[]): readonly string[] {
  const domains = new Map(members.map(({ instance: { name, failureDomain } }) => [name, failureDomain]))
  const releasedBy = isReleased({ owner, run }) ? owner : ''
  const counts = new Map<string | undefined, number>()
  const ranked = rankOwners(id, candidates).map(name => {
    const domain = domains.get(name)
    const round = name === releasedBy ? Infinity : counts.get(domain) ?? 0
    if (name !== releasedBy) counts.set(domain, round + 1)
    return { name, round }
  })
  return ranked.sort((a, b) => a.round - b.round).map(({ name }) => name)
}
