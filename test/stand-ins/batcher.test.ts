import test from 'ava'
import { Batcher } from '../../stand-ins/engine/batcher.js'
import { defaultParameters } from '../../stand-ins/engine/default-parameters.js'
import { PrefixCache } from '../../stand-ins/engine/prefix-cache.js'
import type { Sequence } from '../../stand-ins/engine/sequence.js'

function createSequence (contextTokens: number, words: number, more: Partial<Sequence> = {}): Sequence {
  return { id: 's', contextTokens, blocks: [], imported: false, words: Array.from({ length: words }, () => 'w'), resumed: 0, done: 0, prefillLeft: 0, prefilled: 0, cancelled: false, onToken: () => {}, ...more }
}

/** Returns the total time that one sequence takes alone, ms. */
function run (batcher: Batcher, sequence: Sequence): number {
  batcher.add(sequence)
  let time = 0
  for (let step = batcher.beginStep(); step > 0; step = batcher.beginStep()) {
    time += step
    batcher.endStep()
  }
  return time
}

test('prefill costs only what is neither cached nor imported', t => {
  const batcher = new Batcher({ ...defaultParameters, prefillPerToken: 1, importPerToken: 0, stepBase: 1, prefillChunk: 64 })
  const blocks = [1, 2, 3, 4]
  t.is(run(batcher, createSequence(64, 2, { blocks })), 64 + 2)
  t.is(run(batcher, createSequence(80, 2, { blocks: [...blocks, 5] })), 16 + 2)
  t.is(run(batcher, createSequence(64, 2, { imported: true })), 2)
  t.is(run(batcher, createSequence(128, 1)), 128 + 2)
})

test('a full cache evicts the least recently used blocks', t => {
  const cache = new PrefixCache()
  cache.put([1, 2], 3)
  cache.put([8], 3)
  t.is(cache.use([1, 2]), 2)
  cache.put([9], 3)
  t.is(cache.use([8]), 0)
  t.is(cache.use([1, 2]), 2)
})

test('a cancelled sequence leaves at the next step and makes room for the next one', t => {
  const batcher = new Batcher({ ...defaultParameters, maxRunning: 1 })
  const first = createSequence(10, 100)
  let got = 0
  batcher.add(first)
  batcher.add(createSequence(10, 1, { onToken: () => { got++ } }))
  batcher.beginStep()
  batcher.endStep()
  first.cancelled = true
  batcher.beginStep()
  batcher.endStep()
  t.is(got, 1)
})
