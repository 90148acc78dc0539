import type { MemberRecord } from './member-record.js'

const RANK: Readonly<Record<MemberRecord['status'], number>> = { alive: 0, suspect: 1, dead: 2 }

type RecordVersion = Pick<MemberRecord, 'incarnation' | 'status'>

/**
 * Whether `next` supersedes `known`: the higher incarnation does, and within one incarnation the graver status. So only
 * the member itself can withdraw a suspicion or a death, by a new incarnation, in whatever order records arrive.
 */
export function isNewerRecord (next: RecordVersion, known: RecordVersion | undefined): boolean {
  if (known === undefined) return next.status !== 'suspect'
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation
  return RANK[next.status] > RANK[known.status]
}
