import { showReadProblems } from '../show-read-problems.js'
import type { Trace } from './trace.js'

/** Formats the notes of a trace: omitted lines, clock differences and what could not be read. */
export function showTraceNotes ({ counted, clocks, unread }: Trace): readonly string[] {
  return [
    ...counted.map(({ instance, what, server, count }) => `not shown: ${instance} ${count} x ${what}${server === undefined ? '' : ` at ${server}`}`),
    ...clocks.map(({ behind, ahead, least }) => `the clock of ${behind} is behind that of ${ahead} by ${least} ms or more`),
    ...showReadProblems(unread)
  ]
}
