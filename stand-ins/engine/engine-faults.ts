/** Faults of a stand-in engine, set by POST /control/faults; an absent field is no fault. */
export interface EngineFaults {
  /** Tokens after which each answer's connection is cut. */
  readonly cutAfter?: number
  /** Tokens after which each answer stops while its connection stays open. */
  readonly silenceAfter?: number
  /** Share of answers that `cutAfter` and `silenceAfter` affect, drawn from the engine's seed; 1 when absent. */
  readonly share?: number
  /** Text in a prompt that crashes the process. */
  readonly crashOn?: string
  /** Delay before each answer begins, ms. */
  readonly answerDelay?: number
  /** Factor on the duration of each step. */
  readonly stepFactor?: number
  /** Pauses the step loop until a later call omits it. */
  readonly frozen?: boolean
  /** Number of open connections, the oldest first, that stall for good; new ones work. */
  readonly silenceOpen?: number
  /** Ends the process at once. */
  readonly die?: boolean
}
