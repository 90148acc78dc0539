import type { OmittedLines } from './omitted-lines.js'
import type { TraceEvent } from './trace-event.js'
import type { TraceSubject } from './trace-subject.js'
import type { ReadProblem } from './read-problem.js'

/** The course of a request, item, job or server, from the logs of all instances. */
export interface Trace {
  readonly id: string
  readonly type: TraceSubject['type']
  /** The jobs of an item; the items of a job. */
  readonly related: readonly string[]
  readonly instances: readonly string[]
  readonly servers: readonly string[]
  readonly events: readonly TraceEvent[]
  readonly counted: readonly OmittedLines[]
  /** Clocks that must differ: `behind` by `least` ms or more. */
  readonly clocks: ReadonlyArray<{ readonly behind: string, readonly ahead: string, readonly least: number }>
  readonly unread: readonly ReadProblem[]
}
