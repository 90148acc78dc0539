/** The share of one caller, the server time it used in a minute, and whether any of its requests waited. */
interface CallerUsage { readonly share: number, readonly got: number, readonly waited: boolean }

/**
 * Divides the server time used among the callers by their shares, weighted max-min fair. A caller that never waited had all it
 * asked for, so what it left of its part goes to the others; otherwise a caller with little demand would seem to get less than
 * its share. The parts add up to the time used.
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
