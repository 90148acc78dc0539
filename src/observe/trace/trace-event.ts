import type { DecisionInputs } from '../decision-inputs.js'
import type { TimelineEvent } from '../timeline/timeline-event.js'

/** A log line as an event of a trace. */
export interface TraceEvent extends TimelineEvent {
  /**
   * `own`: a line of the traced id. `failure`: a warning or error at about the same time. `belief`: a state change that a
   * daemon logged. `other`: another request on the same servers.
   */
  readonly kind: 'own' | 'failure' | 'belief' | 'other'
  readonly level: string
  /** All further fields of the line, unchanged. */
  readonly fields: Readonly<Record<string, unknown>>
  /** File and line number, as `file:number`. */
  readonly place: string
  /** State that the daemon used; set for `own` lines. */
  readonly inputs?: DecisionInputs
  /** Why the event is placed after one with a later timestamp. */
  readonly inferred?: string
}
