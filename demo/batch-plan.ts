/** The batch job of the demo: the prompt and tokens of each item, and the items that always fail. */
export const batchPlan = {
  tokens: 40,
  impossible: [7, 123, 499] as readonly number[],
  createPrompt (n: number): string {
    return this.impossible.includes(n) ? `[impossible] draft ${n}` : `Draft an itinerary to Penghu for group ${n}`
  }
}
