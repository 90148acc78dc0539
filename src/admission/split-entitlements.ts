/** What one caller had of a pool in one minute: its share, server time it got, and whether a request of it waited. */
interface CallerUsage { readonly share: number, readonly got: number, readonly waited: boolean }

/**
 * What each caller's share entitles it to of all server time that was given: max-min fair by weight. One that never
 * waited had all it asked for, so what it left of its part goes to the others; without that a caller that asks little
 * would look cheated. The parts add up to what was given.
 */
export function splitEntitlements (usages: readonly CallerUsage[]): readonly number[] {
  const entitled = usages.map(() => 0)
  let open = usages.map((_, i) => i)
  let rest = usages.reduce((sum, { got }) => sum + got, 0)
  for (;;) {
    const level = rest / open.reduce((sum, i) => sum + usages[i]!.share, 0)
    const satisfied = open.filter(i => !usages[i]!.waited && usages[i]!.got < usages[i]!.share * level)
    if (satisfied.length === 0) {
      for (const i of open) entitled[i] = usages[i]!.share * level
      return entitled
    }
    for (const i of satisfied) {
      entitled[i] = usages[i]!.got
      rest -= usages[i]!.got
    }
    open = open.filter(i => !satisfied.includes(i))
  }
}
