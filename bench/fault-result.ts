/** The effect of one fault on online requests. Times in ms. */
export interface FaultResult {
  readonly fault: string
  readonly asked: number
  readonly answered: number
  /** Final refusals after the caller's retries. */
  readonly refused: Readonly<Record<string, number>>
  /** Requests that got neither an answer nor a refusal, despite the caller's retries. */
  readonly lost: number
  /** Time from the fault until the last request that got no good answer was sent. */
  readonly untilGood: number
  /** Requests after the fault that got no good answer: refused, lost, or a first token over twice the p99 before. */
  readonly bad: number
  /** Runs in the engines' logs divided by the number of requests. */
  readonly sendsOverRequests: number
}
