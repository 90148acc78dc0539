const MAX_DISTANCE = 2

/** The known key that `key` is most likely a slip of, if there is one within two edits. */
export function suggestKey (key: string, known: readonly string[]): string | undefined {
  const near = known
    .map(name => ({ name, distance: countEdits(key.toLowerCase(), name.toLowerCase()) }))
    .filter(({ distance, name }) => distance <= MAX_DISTANCE && distance < name.length)
    .sort((a, b) => a.distance - b.distance)
  return near[0]?.name
}

/** Levenshtein distance. */
function countEdits (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      next.push(Math.min(row[j]! + 1, next[j - 1]! + 1, row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)))
    }
    row = next
  }
  return row[b.length]!
}
