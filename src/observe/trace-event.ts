import type { DecisionInputs } from './decision-inputs.js'
import type { TimelineEvent } from './timeline-event.js'

/** A line of a log in the course of what was asked for. */
export interface TraceEvent extends TimelineEvent {
  /** `own`: of the id itself. `failure`: a warning or error beside it. `belief`: what a daemon learnt. `other`: another's at the same servers. */
  readonly kind: 'own' | 'failure' | 'belief' | 'other'
  readonly level: string
  /** All that the line says beside its sentence, as it was written. */
  readonly fields: Readonly<Record<string, unknown>>
  /** File and number of the line. */
  readonly place: string
  /** Of the lines of the id itself. */
  readonly inputs?: DecisionInputs
  /** Why the event stands after one with a later stamp. */
  readonly inferred?: string
}
