import type { EngineParameters } from '../../stand-ins/engine/engine-parameters.js'

const BLOCKS_PER_SEQUENCE = 1_000

/** Returns the ids of a sequence's cache blocks, which no other sequence uses. */
export function listBlocks (number: number, tokens: number, { blockTokens }: Pick<EngineParameters, 'blockTokens'>): readonly number[] {
  return Array.from({ length: Math.floor(tokens / blockTokens) }, (_, i) => number * BLOCKS_PER_SEQUENCE + i)
}
