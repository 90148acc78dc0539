/** Who waits for a platform call: a caller, an operator or nobody. Under a short budget the first goes first. */
export type CallPriority = 'caller' | 'operator' | 'background'
