import type { Sequence } from '../../stand-ins/engine/sequence.js'

/** Creates a sequence for the batcher. `onToken` is called for each token with whether it is the first and the last. */
export function createSequence ({ contextTokens, words, blocks, done = 0, imported = false }: Pick<Sequence, 'contextTokens' | 'words' | 'blocks'> & { readonly done?: number, readonly imported?: boolean }, onToken: (first: boolean, last: boolean) => void): Sequence {
  let first = true
  return {
    id: '',
    contextTokens,
    words,
    blocks,
    resumed: done,
    done,
    imported,
    prefillLeft: contextTokens,
    prefilled: 0,
    cancelled: false,
    onToken: (_word, last) => {
      onToken(first, last)
      first = false
    }
  }
}
