/** A part's amount, such as its runs or the time of its runs, and that of all requests. */
interface Amounts { readonly own: number, readonly all: number }

/** Estimates the share of what is in flight that has a part: by the time of its runs, or by their number where that is more. */
export function estimateShare (...amounts: readonly Amounts[]): number {
  return Math.max(...amounts.map(({ own, all }) => own / Math.max(1, all)))
}
