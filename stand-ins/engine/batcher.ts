import type { EngineParameters } from './engine-parameters.js'
import type { Sequence } from './sequence.js'

/**
 * Continuous batching on virtual steps: waiting sequences join as memory and slots allow, first come first
 * served; every step gives each running sequence one token.
 */
export class Batcher {
  readonly waiting: Sequence[] = []
  readonly running: Sequence[] = []

  constructor (private readonly parameters: EngineParameters) {}

  add (sequence: Sequence): void {
    this.waiting.push(sequence)
  }

  /** Takes one step; gives back how long it lasted in ms, 0 when there is nothing to do. */
  step (): number {
    this.drop()
    const prefill = this.admit()
    if (this.running.length === 0) return 0
    const { stepBase, stepPerSequence } = this.parameters
    const duration = prefill + stepBase + stepPerSequence * (this.running.length - 1)
    for (const sequence of [...this.running]) this.emit(sequence)
    return duration
  }

  private drop (): void {
    for (const list of [this.waiting, this.running]) {
      for (let i = list.length - 1; i >= 0; i--) if (list[i]!.cancelled) list.splice(i, 1)
    }
  }

  private admit (): number {
    let prefill = 0
    while (this.waiting.length > 0 && this.running.length < this.parameters.maxRunning) {
      const next = this.waiting[0]!
      const used = this.running.reduce((sum, sequence) => sum + sequence.promptTokens + sequence.words.length, 0)
      if (this.running.length > 0 && used + next.promptTokens + next.words.length > this.parameters.memoryTokens) break
      prefill += next.prefillLeft * this.parameters.prefillPerToken
      this.running.push(this.waiting.shift()!)
    }
    return prefill
  }

  private emit (sequence: Sequence): void {
    const word = sequence.words[sequence.done++]!
    const last = sequence.done === sequence.words.length
    if (last) this.running.splice(this.running.indexOf(sequence), 1)
    sequence.onToken(word, last)
  }
}
