/** Where the batch tokens went that an engine could have given while no online request was in flight there. */
export interface IdleAccount {
  /** ms without an online request. */
  readonly idle: number
  /** Tokens that a full batch would have given in that time. */
  readonly possible: number
  /** Tokens given in that time. */
  readonly given: number
  /** Tokens given beside online requests. */
  readonly beside: number
  /** From the end of the last online request to the first batch start: news on its way, or no work at hand. */
  readonly lateStart: number
  /** While streams came back after an online request. */
  readonly refill: number
  /** Streams fewer than allowed once they had come back: gaps between an item's end and the next one's start. */
  readonly replacing: number
  /** Slots that are left free on purpose. */
  readonly headroom: number
  /** What running streams gave less than their steps allow: prefill, steps cut by giving way, timers of the engine. */
  readonly steps: number
}
