/** Tokens of batch items, uniform between `from` and `from + spread`. */
export interface ItemSizes {
  readonly prompt: { readonly from: number, readonly spread: number }
  readonly answer: { readonly from: number, readonly spread: number }
}
