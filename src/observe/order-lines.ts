import type { LogLine } from './log-line.js'
import type { OrderRule } from './order-rule.js'

interface PlacedLine {
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
export function orderLines (lines: readonly LogLine[], rules: readonly OrderRule[]): readonly PlacedLine[] {
  const streams = splitStreams(lines)
  const causes = indexRules(rules)
  const placed: PlacedLine[] = []
  const done = new Set<LogLine>()
  let latest = -Infinity
  for (let i = 0; i < lines.length; i++) {
    const open = streams.filter(({ lines, next }) => next < lines.length)
    const free = open.filter(stream => (causes.get(getHead(stream)) ?? []).every(({ earlier }) => done.has(earlier)))
    // Rules that contradict the order of the processes leave none free.
    const stream = findFirst(free.length > 0 ? free : open)
    const line = getHead(stream)
    const inferred = line.time < latest ? showInference(stream, causes.get(line) ?? [], latest) : undefined
    placed.push({ line, ...inferred !== undefined && { inferred } })
    stream.next++
    done.add(line)
    latest = Math.max(latest, line.time)
  }
  return placed
}

/** By line: the rules that say what must stand before it. */
function indexRules (rules: readonly OrderRule[]): ReadonlyMap<LogLine, readonly OrderRule[]> {
  const index = new Map<LogLine, OrderRule[]>()
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

function getHead ({ lines, next }: Stream): LogLine {
  return lines[next]!
}

function findFirst (streams: readonly Stream[]): Stream {
  return streams.reduce((first, stream) => compareLines(getHead(stream), getHead(first)) < 0 ? stream : first)
}

function compareLines (a: LogLine, b: LogLine): number {
  return a.time - b.time || (a.instance < b.instance ? -1 : a.instance > b.instance ? 1 : 0)
}

function showInference (stream: Stream, rules: readonly OrderRule[], latest: number): string {
  const line = getHead(stream)
  const rule = rules.find(({ earlier }) => earlier.time > line.time)
  const before = stream.lines[stream.next - 1]
  const why = rule !== undefined
    ? rule.why
    : before !== undefined && before.time > line.time
      ? 'its process wrote it after the line before, and its clock was set back'
      : 'its process wrote it after a line that must have come later'
  return `stamped ${latest - line.time} ms before a line above: ${why}`
}
