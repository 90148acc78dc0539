import type { LogLine } from '../log-line.js'
import type { OrderConstraint } from './order-constraint.js'

interface OrderedLine {
  readonly line: LogLine
  /** Why it is placed after a line with a later timestamp. */
  readonly inferred?: string
}

interface Stream { readonly lines: readonly LogLine[], next: number }

/**
 * Merges the lines of several processes by timestamp, subject to the constraints. Lines of one process keep the order in
 * which it wrote them, even if its clock was set back. The clocks of different instances may differ.
 *
 * @example
 * orderLines(lines, listOrderConstraints(lines, instances))
 */
export function orderLines (lines: readonly LogLine[], constraints: readonly OrderConstraint[]): readonly OrderedLine[] {
  const streams = splitStreams(lines)
  const constraintsByLine = indexConstraints(constraints)
  const ordered: OrderedLine[] = []
  const done = new Set<LogLine>()
  let latest = -Infinity
  for (let i = 0; i < lines.length; i++) {
    const unfinished = streams.filter(({ lines, next }) => next < lines.length)
    const ready = unfinished.filter(stream => (constraintsByLine.get(getNext(stream)) ?? []).every(({ earlier }) => done.has(earlier)))
    // No stream is ready if the constraints contradict the order within the processes; then the earliest line is taken regardless.
    const stream = findEarliest(ready.length > 0 ? ready : unfinished)
    const line = getNext(stream)
    const inferred = line.time < latest ? showReason(stream, constraintsByLine.get(line) ?? [], latest) : undefined
    ordered.push({ line, ...inferred !== undefined && { inferred } })
    stream.next++
    done.add(line)
    latest = Math.max(latest, line.time)
  }
  return ordered
}

/** Indexes the constraints by the line that must come later. */
function indexConstraints (constraints: readonly OrderConstraint[]): ReadonlyMap<LogLine, readonly OrderConstraint[]> {
  const index = new Map<LogLine, OrderConstraint[]>()
  for (const constraint of constraints) {
    const known = index.get(constraint.later)
    if (known === undefined) index.set(constraint.later, [constraint])
    else known.push(constraint)
  }
  return index
}

/** Groups the lines by file and instance, each group in file order. */
function splitStreams (lines: readonly LogLine[]): readonly Stream[] {
  const streams = new Map<string, LogLine[]>()
  for (const line of lines) {
    const key = JSON.stringify([line.file, line.instance])
    const known = streams.get(key)
    if (known === undefined) streams.set(key, [line])
    else known.push(line)
  }
  return [...streams.values()].map(lines => ({ lines: lines.sort((a, b) => a.number - b.number), next: 0 }))
}

function getNext ({ lines, next }: Stream): LogLine {
  return lines[next]!
}

function findEarliest (streams: readonly Stream[]): Stream {
  return streams.reduce((first, stream) => compareLines(getNext(stream), getNext(first)) < 0 ? stream : first)
}

function compareLines (a: LogLine, b: LogLine): number {
  return a.time - b.time || (a.instance < b.instance ? -1 : a.instance > b.instance ? 1 : 0)
}

function showReason (stream: Stream, constraints: readonly OrderConstraint[], latest: number): string {
  const line = getNext(stream)
  const constraint = constraints.find(({ earlier }) => earlier.time > line.time)
  const previous = stream.lines[stream.next - 1]
  const reason = constraint !== undefined
    ? constraint.reason
    : previous !== undefined && previous.time > line.time
      ? 'the same process wrote it after the previous line, and its clock was set back'
      : 'the same process wrote it after a line that was placed later than its timestamp'
  return `timestamp ${latest - line.time} ms before that of a line above: ${reason}`
}
