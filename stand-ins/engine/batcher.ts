import type { EngineParameters } from './engine-parameters.js'
import { PrefixCache } from './prefix-cache.js'
import type { Sequence } from './sequence.js'

type BatcherParameters = Pick<EngineParameters, 'stepBase' | 'stepPerSequence' | 'prefillPerToken' | 'importPerToken' | 'prefillChunk' | 'memoryTokens' | 'blockTokens' | 'maxRunning'>

/**
 * Continuous batching on virtual steps, with no clock of its own: waiting sequences join as memory and slots allow,
 * first come first served and whatever they are for. A step prefills at most a chunk of prompt tokens and gives each
 * sequence whose prompt is done one token, at its end.
 */
export class Batcher {
  readonly waiting: Sequence[] = []
  readonly running: Sequence[] = []

  constructor (private readonly parameters: BatcherParameters, private readonly cache = new PrefixCache()) {}

  add (sequence: Sequence): void {
    this.waiting.push(sequence)
  }

  /** Begins a step; gives back how long it lasts in ms, 0 when there is nothing to do. */
  beginStep (): number {
    this.removeCancelled()
    this.admit()
    if (this.running.length === 0) return 0
    const { stepBase, stepPerSequence } = this.parameters
    return this.prefill() + stepBase + stepPerSequence * (this.running.length - 1)
  }

  /** Ends the step: gives out its tokens. */
  endStep (): void {
    for (const sequence of [...this.running]) if (sequence.prefillLeft === 0 && !sequence.cancelled) this.emit(sequence)
  }

  /** Tokens of KV cache that running sequences hold or may come to hold. */
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

  /** Prefills in order of arrival, up to the chunk; gives back the ms it takes. */
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

  /** What a sequence leaves of its prompt and answer stays cached as long as there is room. */
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
