/** What one fault did to online requests. Times in ms. */
export interface FaultResult {
  readonly fault: string
  readonly asked: number
  readonly answered: number
  /** Final refusals, after the caller's own sends. */
  readonly refused: Readonly<Record<string, number>>
  /** Requests that got neither an answer nor a refusal, though their caller sent them again. */
  readonly lost: number
  /** From the fault until the last request was sent that didn't get a good answer. */
  readonly untilGood: number
  /** Requests after the fault that got no good answer: refused, lost, or a first token over twice the p99 before. */
  readonly bad: number
  /** Runs in the engines' logs over requests asked. */
  readonly sendsOverRequests: number
}
