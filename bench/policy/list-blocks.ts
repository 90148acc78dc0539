import type { EngineParameters } from '../../stand-ins/engine/engine-parameters.js'

const BLOCKS_PER_SEQUENCE = 1_000

/** Names of the cache blocks of the sequence with this number, which nobody else has. */
export function listBlocks (number: number, tokens: number, { blockTokens }: Pick<EngineParameters, 'blockTokens'>): readonly number[] {
  return Array.from({ length: Math.floor(tokens / blockTokens) }, (_, i) => number * BLOCKS_PER_SEQUENCE + i)
}
