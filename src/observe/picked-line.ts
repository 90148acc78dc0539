import type { DecisionInputs } from './decision-inputs.js'
import type { LogLine } from './log-line.js'
import type { TraceEvent } from './trace-event.js'

/** A line that is shown, and what it is to the course. */
export interface PickedLine {
  readonly line: LogLine
  readonly kind: TraceEvent['kind']
  readonly inputs?: DecisionInputs
}
