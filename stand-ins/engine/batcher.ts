import type { EngineParameters } from './engine-parameters.js'
import { PrefixCache } from './prefix-cache.js'
import type { Sequence } from './sequence.js'

type BatcherParameters = Pick<EngineParameters, 'stepBase' | 'stepPerSequence' | 'prefillPerToken' | 'importPerToken' | 'prefillChunk' | 'memoryTokens' | 'blockTokens' | 'maxRunning'>

/**
 * Continuous batching in steps, without a clock. Waiting sequences are admitted in order of arrival as memory and batch
 * size allow, online and batch requests alike. A step prefills at most one chunk of prompt tokens; at its end, each
 * sequence whose prompt is prefilled emits one token.
 */
export class Batcher {
  readonly waiting: Sequence[] = []
  readonly running: Sequence[] = []

  constructor (private readonly parameters: BatcherParameters, private readonly cache = new PrefixCache()) {}

  add (sequence: Sequence): void {
    this.waiting.push(sequence)
  }

  /** Begins a step; returns its duration in ms, 0 if there is nothing to do. */
  beginStep (): number {
    this.removeCancelled()
    this.admit()
    if (this.running.length === 0) return 0
    const { stepBase, stepPerSequence } = this.parameters
    return this.prefill() + stepBase + stepPerSequence * (this.running.length - 1)
  }

  /** Ends the step: emits its tokens. */
  endStep (): void {
    for (const sequence of [...this.running]) if (sequence.prefillLeft === 0 && !sequence.cancelled) this.emit(sequence)
  }

  /** Tokens of KV cache reserved for running sequences. */
  get usedTokens (): number {
    return this.running.reduce((sum, sequence) => sum + countTokens(sequence), 0)
  }

  private removeCancelled (): void {
    for (const list of [this.waiting, this.running]) {
      for (let i = list.length - 1; i >= 0; i--) if (list[i]!.cancelled) this.release(list.splice(i, 1)[0]!)
    }
  }

  private admit (): void {
    const { maxRunning, memoryTokens, blockTokens } = this.parameters
    let used = this.usedTokens
    while (this.waiting.length > 0 && this.running.length < maxRunning) {
      const next = this.waiting[0]!
      if (this.running.length > 0 && used + countTokens(next) > memoryTokens) break
      used += countTokens(next)
      next.prefillLeft = next.contextTokens - Math.min(next.contextTokens, this.cache.use(next.blocks) * blockTokens)
      this.running.push(this.waiting.shift()!)
    }
    this.cache.evict(Math.floor((memoryTokens - used) / blockTokens))
  }

  /** Prefills in order of arrival, at most one chunk; returns the time it takes, ms. */
  private prefill (): number {
    let left = this.parameters.prefillChunk
    let duration = 0
    for (const sequence of this.running) {
      const tokens = Math.min(left, sequence.prefillLeft)
      sequence.prefillLeft -= tokens
      sequence.prefilled += tokens
      left -= tokens
      duration += tokens * (sequence.imported ? this.parameters.importPerToken : this.parameters.prefillPerToken)
    }
    return duration
  }

  private emit (sequence: Sequence): void {
    const word = sequence.words[sequence.done++]!
    const last = sequence.done >= sequence.words.length
    if (last) this.release(this.running.splice(this.running.indexOf(sequence), 1)[0]!)
    sequence.onToken(word, last)
  }

  /** Caches the computed blocks of a sequence that left the batch, as far as memory allows. */
  private release (sequence: Sequence): void {
    const { memoryTokens, blockTokens } = this.parameters
    const tokens = sequence.contextTokens - sequence.prefillLeft + sequence.done - sequence.resumed
    const computed = Math.floor(tokens / blockTokens)
    this.cache.put(sequence.blocks.slice(0, computed), Math.floor((memoryTokens - this.usedTokens) / blockTokens))
  }
}

function countTokens ({ contextTokens, words, resumed }: Sequence): number {
  return contextTokens + words.length - resumed
}
