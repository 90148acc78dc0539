/** Who waits for a platform call: a caller, an operator, or neither (`background`). The budget serves them in this order. */
export type CallPriority = 'caller' | 'operator' | 'background'
