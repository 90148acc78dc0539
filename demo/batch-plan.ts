/** The batch work of the trial: what each item asks, and which of them can never be done. */
export const batchPlan = {
  tokens: 40,
  impossible: [7, 123, 499] as readonly number[],
  createPrompt (n: number): string {
    return this.impossible.includes(n) ? `[impossible] draft ${n}` : `Draft an itinerary to Penghu for group ${n}`
  }
}
