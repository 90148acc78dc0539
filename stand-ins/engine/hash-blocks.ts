const FNV_PRIME = 0x01000193
const FNV_OFFSET = 0x811c9dc5
const CHARACTERS_PER_TOKEN = 4

/**
 * Chained hashes (FNV-1a) of the whole blocks of a text, four characters a token: two texts share the hash of block
 * n exactly when they are the same up to its end, but for chance.
 */
export function hashBlocks (text: string, blockTokens: number): readonly number[] {
  const size = blockTokens * CHARACTERS_PER_TOKEN
  const blocks: number[] = []
  let hash = FNV_OFFSET
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
    if ((i + 1) % size === 0) blocks.push(hash >>> 0)
  }
  return blocks
}
