/** Asks each of `names`, at most `concurrency` at once. Returns the answers, and the sorted names whose answer was undefined. */
export async function askEach<T> (names: readonly string[], ask: (name: string) => Promise<T | undefined>, concurrency: number): Promise<{ readonly answers: readonly T[], readonly unresponsive: readonly string[] }> {
  const remaining = [...names]
  const answers: T[] = []
  const unresponsive: string[] = []
  const run = async (): Promise<void> => {
    for (let name = remaining.shift(); name !== undefined; name = remaining.shift()) {
      const answer = await ask(name)
      if (answer === undefined) unresponsive.push(name)
      else answers.push(answer)
    }
  }
  await Promise.all(Array.from({ length: Math.min(concurrency, names.length) }, run))
  return { answers, unresponsive: unresponsive.sort() }
}
