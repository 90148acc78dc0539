/** Holds the different result lines of each item of a job, in the order in which they were read. */
export class ObservedResults {
  /** Number of successful reads before the last one of the hunt. */
  reads = 0
  private readonly lines = new Map<string, string[]>()

  record (results: readonly any[]): void {
    for (const result of results) {
      const line = JSON.stringify(result)
      const seen = this.lines.get(result.custom_id)
      if (seen === undefined) this.lines.set(result.custom_id, [line])
      else if (seen.at(-1) !== line) seen.push(line)
    }
  }

  list (): ReadonlyArray<{ readonly item: string, readonly lines: readonly string[] }> {
    return [...this.lines].map(([item, lines]) => ({ item, lines }))
  }
}
