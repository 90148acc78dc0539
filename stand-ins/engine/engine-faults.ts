/** What goes wrong at a stand-in engine, set by POST /control/faults; an absent field is no fault. */
export interface EngineFaults {
  /** Tokens after which each answer's connection is cut. */
  readonly cutAfter?: number
  /** Tokens after which each answer's connection stays open and says nothing more. */
  readonly silenceAfter?: number
  /** Text in a prompt that makes the process end at once. */
  readonly crashOn?: string
}
