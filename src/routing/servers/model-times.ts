import type { Model } from '../../config/model.js'
import { TimeEstimate } from './time-estimate.js'

/** In ms, as all times here. */
const MIN_TOKEN_GAP_TIMEOUT = 500
const MIN_FIRST_TOKEN_TIMEOUT = 1_000

/** Observed token times of one pool's streamed answers, and the timeouts derived from them. */
export class ModelTimes {
  private readonly firstToken = new TimeEstimate()
  private readonly tokenGap = new TimeEstimate()

  recordFirstToken (time: number): void {
    this.firstToken.record(time)
  }

  recordTokenGap (time: number): void {
    this.tokenGap.record(time)
  }

  /** Returns the timeout for the first token: between two and ten times its target, depending on observed times. */
  getFirstTokenTimeout ({ firstToken }: Model): number {
    return this.firstToken.getTimeout(Math.max(MIN_FIRST_TOKEN_TIMEOUT, 2 * firstToken), Math.max(MIN_FIRST_TOKEN_TIMEOUT, 10 * firstToken))
  }

  /** Returns the timeout between tokens: between five and fifty times their target, depending on observed times. */
  getTokenGapTimeout ({ betweenTokens }: Model): number {
    return this.tokenGap.getTimeout(Math.max(MIN_TOKEN_GAP_TIMEOUT, 5 * betweenTokens), Math.max(MIN_TOKEN_GAP_TIMEOUT, 50 * betweenTokens))
  }
}
