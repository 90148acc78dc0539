import type { OmittedLines } from '../timeline/omitted-lines.js'
import type { TraceEvent } from './trace-event.js'
import type { TraceSubject } from './trace-subject.js'
import type { ReadProblem } from '../read-problem.js'

/** What happened to a request, item, job or server, from the logs of all instances. */
export interface Trace {
  readonly id: string
  readonly type: TraceSubject['type']
  /** The jobs of an item; the items of a job. */
  readonly related: readonly string[]
  readonly instances: readonly string[]
  readonly servers: readonly string[]
  readonly events: readonly TraceEvent[]
  /** Lines that are counted instead of shown. */
  readonly counted: readonly OmittedLines[]
  /** Pairs of instances whose clocks must differ, by at least `least` ms. */
  readonly clocks: ReadonlyArray<{ readonly behind: string, readonly ahead: string, readonly least: number }>
  readonly unread: readonly ReadProblem[]
}
