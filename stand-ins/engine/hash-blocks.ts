const FNV_PRIME = 0x01000193
const FNV_OFFSET = 0x811c9dc5

/**
 * Chained hashes (FNV-1a) of the whole blocks of a list of tokens: two lists share the hash of block n exactly when
 * they are the same up to its end, but for chance.
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
