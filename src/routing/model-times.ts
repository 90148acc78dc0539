import type { Model } from '../config/model.js'
import { TimeEstimate } from './time-estimate.js'

const MIN_TOKEN_GAP_TIMEOUT = 500
const MIN_FIRST_TOKEN_TIMEOUT = 1_000

/** Observed times of one pool's streamed answers, and how long its servers may say nothing. All in ms. */
export class ModelTimes {
  private readonly firstToken = new TimeEstimate()
  private readonly tokenGap = new TimeEstimate()

  recordFirstToken (time: number): void {
    this.firstToken.record(time)
  }

  recordTokenGap (time: number): void {
    this.tokenGap.record(time)
  }

  /** Longest wait for the first bytes of a stream: between two and ten targets, as observed times have it. */
  getFirstTokenTimeout ({ firstToken }: Model): number {
    return this.firstToken.getTimeout(Math.max(MIN_FIRST_TOKEN_TIMEOUT, 2 * firstToken), Math.max(MIN_FIRST_TOKEN_TIMEOUT, 10 * firstToken))
  }

  /** Longest wait between tokens: between five and fifty targets, as observed times have it. */
  getTokenGapTimeout ({ betweenTokens }: Model): number {
    return this.tokenGap.getTimeout(Math.max(MIN_TOKEN_GAP_TIMEOUT, 5 * betweenTokens), Math.max(MIN_TOKEN_GAP_TIMEOUT, 50 * betweenTokens))
  }
}
