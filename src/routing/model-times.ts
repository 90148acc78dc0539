import type { Model } from '../config/model.js'
import { TimeEstimate } from './time-estimate.js'

const LOWEST_SILENCE = 500
const LOWEST_FIRST = 1_000

/** Observed times of one pool's streamed answers, and how long its servers may say nothing. All in ms. */
export class ModelTimes {
  private readonly first = new TimeEstimate()
  private readonly between = new TimeEstimate()

  recordFirst (time: number): void {
    this.first.record(time)
  }

  recordBetween (time: number): void {
    this.between.record(time)
  }

  /** Longest wait for the first bytes of a stream: between two and ten targets, as observed times have it. */
  getFirstPatience ({ firstToken }: Model): number {
    return this.first.getPatience(Math.max(LOWEST_FIRST, 2 * firstToken), Math.max(LOWEST_FIRST, 10 * firstToken))
  }

  /** Longest wait between tokens: between five and fifty targets, as observed times have it. */
  getBetweenPatience ({ betweenTokens }: Model): number {
    return this.between.getPatience(Math.max(LOWEST_SILENCE, 5 * betweenTokens), Math.max(LOWEST_SILENCE, 50 * betweenTokens))
  }
}
