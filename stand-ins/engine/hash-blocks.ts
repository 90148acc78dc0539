const FNV_PRIME = 0x01000193
const FNV_OFFSET = 0x811c9dc5

/**
 * Returns chained FNV-1a hashes of the whole blocks of a list of tokens: but for collisions, two lists share the hash of
 * a block exactly if they are equal up to its end.
 */
export function hashBlocks (tokens: readonly string[], blockTokens: number): readonly number[] {
  const blocks: number[] = []
  let hash = FNV_OFFSET
  tokens.forEach((token, i) => {
    for (const character of token) hash = Math.imul(hash ^ character.charCodeAt(0), FNV_PRIME)
    hash = Math.imul(hash ^ token.length, FNV_PRIME)
    if ((i + 1) % blockTokens === 0) blocks.push(hash >>> 0)
  })
  return blocks
}
