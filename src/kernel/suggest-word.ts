const MAX_DISTANCE = 3

/**
 * Returns the known word with the least edit distance to a wrong one; undefined where none is close.
 *
 * @example
 * suggestWord('aply', ['apply', 'account']) // 'apply'
 */
export function suggestWord (wrong: string, known: readonly string[]): string | undefined {
  const ranked = known.map(word => ({ word, distance: countEdits(wrong, word) })).sort((a, b) => a.distance - b.distance)
  return ranked[0] !== undefined && ranked[0].distance <= Math.min(MAX_DISTANCE, wrong.length - 1) ? ranked[0].word : undefined
}

function countEdits (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      next.push(Math.min(next[j - 1]! + 1, row[j]! + 1, row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)))
    }
    row = next
  }
  return row[b.length]!
}
