/** Asks each of `names`, at most `concurrency` at once; names those whose answer was undefined. */
export async function askEach<T> (names: readonly string[], ask: (name: string) => Promise<T | undefined>, concurrency: number): Promise<{ readonly answers: readonly T[], readonly silent: readonly string[] }> {
  const left = [...names]
  const answers: T[] = []
  const silent: string[] = []
  const run = async (): Promise<void> => {
    for (let name = left.shift(); name !== undefined; name = left.shift()) {
      const answer = await ask(name)
      if (answer === undefined) silent.push(name)
      else answers.push(answer)
    }
  }
  await Promise.all(Array.from({ length: Math.min(concurrency, names.length) }, run))
  return { answers, silent: silent.sort() }
}
