/**
 * Who waits for a platform call: a caller, an operator, or neither (`background`). The budget serves them in this order. A `probe` finds
 * out whether the platform answers: it is sent during an outage too and waits for no budget, as its sender limits its rate.
 */
export type CallPriority = 'probe' | 'caller' | 'operator' | 'background'
