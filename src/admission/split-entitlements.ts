/** What one caller had of a pool in one minute: its share, server time it got, and whether a request of it waited. */
interface Had { readonly share: number, readonly got: number, readonly waited: boolean }

/**
 * What each caller's share entitles it to of all server time that was given: max-min fair by weight. One that never
 * waited had all it asked for, so what it left of its part goes to the others; without that a caller that asks little
 * would look cheated. The parts add up to what was given.
 */
export function splitEntitlements (had: readonly Had[]): readonly number[] {
  const entitled = had.map(() => 0)
  let open = had.map((_, i) => i)
  let rest = had.reduce((sum, { got }) => sum + got, 0)
  for (;;) {
    const level = rest / open.reduce((sum, i) => sum + had[i]!.share, 0)
    const content = open.filter(i => !had[i]!.waited && had[i]!.got < had[i]!.share * level)
    if (content.length === 0) {
      for (const i of open) entitled[i] = had[i]!.share * level
      return entitled
    }
    for (const i of content) {
      entitled[i] = had[i]!.got
      rest -= had[i]!.got
    }
    open = open.filter(i => !content.includes(i))
  }
}
