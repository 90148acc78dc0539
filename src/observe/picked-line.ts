import type { DecisionInputs } from './decision-inputs.js'
import type { LogLine } from './log-line.js'
import type { TraceEvent } from './trace/trace-event.js'

/** A line that a trace shows, and how it relates to the traced subject. */
export interface PickedLine {
  readonly line: LogLine
  readonly kind: TraceEvent['kind']
  readonly inputs?: DecisionInputs
}
