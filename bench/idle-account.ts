/** Breakdown of the batch tokens that an engine could have generated while it had no online request in flight. */
export interface IdleAccount {
  /** Time in ms without an online request. */
  readonly idle: number
  /** Tokens that a full batch would have generated in that time. */
  readonly possible: number
  /** Tokens generated in that time. */
  readonly given: number
  /** Tokens generated while online requests were in flight. */
  readonly beside: number
  /** Lost between the end of the last online request and the first batch start, by notification delay or lack of work. */
  readonly lateStart: number
  /** Lost while batch streams were restarting after an online request. */
  readonly refill: number
  /** Lost in the gaps between the end of an item and the start of the next. */
  readonly replacing: number
  /** Tokens of slots that admission leaves free. */
  readonly headroom: number
  /** Lost by running streams to prefill, preempted steps and timers of the engine. */
  readonly steps: number
}
