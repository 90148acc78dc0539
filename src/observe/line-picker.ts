import { failUnreachable } from '../kernel/unreachable.js'
import type { CountedLines } from './counted-lines.js'
import { findLineKind } from './find-line-kind.js'
import type { FleetNews } from './fleet-news.js'
import { InstanceKnowledge } from './instance-knowledge.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import type { PickedLine } from './picked-line.js'
import type { Touched } from './touched.js'
import type { TraceSubject } from './trace-subject.js'

/** Lines of others with one sentence and reason that are shown of a second of an instance; the rest are counted. */
const SHOWN_PER_SECOND = 3
const SECOND = 1_000

interface LinePickerOptions {
  readonly subject: TraceSubject
  readonly touched: Touched
  readonly news: FleetNews
}

/** Picks the lines that belong to a course from all lines, in the order in which they were written. */
export class LinePicker {
  readonly picked: PickedLine[] = []
  private readonly knowledge = new Map<string, InstanceKnowledge>()
  private readonly shown = new Map<string, number>()
  private readonly counted = new Map<string, CountedLines>()

  constructor (private readonly options: LinePickerOptions) {}

  /** Takes the next line. */
  observe (line: LogLine): void {
    const { subject, touched, news } = this.options
    if (!touched.times.has(line.instance)) return
    const known = this.knowledge.get(line.instance) ?? new InstanceKnowledge(news)
    this.knowledge.set(line.instance, known)
    const kind = findLineKind(line, subject, touched)
    switch (kind) {
      case 'own': { this.picked.push({ line, kind, inputs: known.show(line) }); break }
      case 'belief': { this.picked.push({ line, kind }); break }
      case 'failure':
      case 'other': {
        if (this.isRepeated(line)) this.count(line)
        else this.picked.push({ line, kind })
        break
      }
      case 'routine': { this.count(line); break }
      case undefined: break
      default: failUnreachable(kind)
    }
    known.observe(line)
  }

  listCounted (): readonly CountedLines[] {
    return [...this.counted.values()].sort((a, b) => b.count - a.count)
  }

  private isRepeated (line: LogLine): boolean {
    const key = JSON.stringify([line.instance, showSentence(line), line.fields.server, Math.floor(line.time / SECOND)])
    const shown = (this.shown.get(key) ?? 0) + 1
    this.shown.set(key, shown)
    return shown > SHOWN_PER_SECOND
  }

  private count (line: LogLine): void {
    const { instance } = line
    const what = showSentence(line)
    const server = listLineServers(line).find(name => this.options.touched.servers.has(name))
    const key = JSON.stringify([instance, what, server])
    const count = (this.counted.get(key)?.count ?? 0) + 1
    this.counted.set(key, { instance, what, ...server !== undefined && { server }, count })
  }
}

/** What happened, and why where the line says so. */
function showSentence ({ part, message, fields: { cause, why } }: LogLine): string {
  const reason = cause ?? why
  return `${part}: ${message}${typeof reason === 'string' ? ` (${reason})` : ''}`
}
