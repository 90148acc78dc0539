import type { LogLine } from './log-line.js'
import type { OrderConstraint } from './order-constraint.js'

interface OrderedLine {
  readonly line: LogLine
  /** Why it stands after a line with a later stamp. */
  readonly inferred?: string
}

interface Stream { readonly lines: readonly LogLine[], next: number }

/**
 * Orders lines of several processes by what must have come first, else by their stamps. The lines of a process keep the
 * order in which it wrote them, also where its clock was set back; the clocks of different instances may differ.
 *
 * @example
 * orderLines(lines, listOrderRules(lines, instances))
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
    // Rules that contradict the order of the processes leave none free.
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

/** By line: the rules that say what must stand before it. */
function indexConstraints (rules: readonly OrderConstraint[]): ReadonlyMap<LogLine, readonly OrderConstraint[]> {
  const index = new Map<LogLine, OrderConstraint[]>()
  for (const rule of rules) {
    const known = index.get(rule.later)
    if (known === undefined) index.set(rule.later, [rule])
    else known.push(rule)
  }
  return index
}

/** A process's lines in one file, in the order in which they stand there. */
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

function showReason (stream: Stream, rules: readonly OrderConstraint[], latest: number): string {
  const line = getNext(stream)
  const rule = rules.find(({ earlier }) => earlier.time > line.time)
  const before = stream.lines[stream.next - 1]
  const why = rule !== undefined
    ? rule.reason
    : before !== undefined && before.time > line.time
      ? 'its process wrote it after the line before, and its clock was set back'
      : 'its process wrote it after a line that must have come later'
  return `stamped ${latest - line.time} ms before a line above: ${why}`
}
