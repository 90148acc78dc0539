/** Processor time, as a share of the largest member's, from which a member counts as large. */
const LARGE_SHARE = 0.5

/** Lists the names of the members with much processor time; 0 where it isn't known. If none is known, all are listed. */
export function listLarge (members: ReadonlyArray<{ readonly name: string, readonly cores: number }>): readonly string[] {
  const most = members.reduce((largest, { cores }) => Math.max(largest, cores), 0)
  return members.filter(({ cores }) => cores >= most * LARGE_SHARE).map(({ name }) => name)
}
