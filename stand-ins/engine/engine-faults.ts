/** What goes wrong at a stand-in engine, set by POST /control/faults; an absent field is no fault. */
export interface EngineFaults {
  /** Tokens after which each answer's connection is cut. */
  readonly cutAfter?: number
  /** Tokens after which each answer's connection stays open and says nothing more. */
  readonly silenceAfter?: number
  /** Share of answers that `cutAfter` and `silenceAfter` hit, drawn from the engine's seed; 1 when absent. */
  readonly share?: number
  /** Text in a prompt that makes the process end at once. */
  readonly crashOn?: string
  /** ms by which each answer begins late. */
  readonly answerDelay?: number
  /** Factor on the length of each step. */
  readonly stepFactor?: number
  /** Stops the step loop until a later call leaves it out. */
  readonly frozen?: boolean
  /** That many of the connections open now go silent for good, the oldest first; new ones work. */
  readonly silenceOpen?: number
  /** Ends the process at once. */
  readonly die?: boolean
}
