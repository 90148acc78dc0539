import { listLineParts } from './list-line-parts.js'
import type { LogLine } from './log-line.js'
import type { TraceScope } from './trace/trace-scope.js'

/** Whether a line tells why a part was refused that requests of the trace have; the decision may be made elsewhere and long before. */
export function isBlamed (line: LogLine, { blamed }: Pick<TraceScope, 'blamed'>): boolean {
  return line.part === 'blame' && listLineParts(line).some(part => blamed.has(part))
}
