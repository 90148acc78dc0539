import { failUnreachable } from '../kernel/unreachable.js'
import type { OmittedLines } from './timeline/omitted-lines.js'
import { isBlamed } from './is-blamed.js'
import { findLineKind } from './find-line-kind.js'
import type { FleetHistory } from './fleet-history.js'
import { InstanceState } from './instance-state.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import type { PickedLine } from './picked-line.js'
import type { TraceScope } from './trace/trace-scope.js'
import type { TraceSubject } from './trace/trace-subject.js'

/** Failures and lines of other requests with the same message, reason and server are shown up to this often per instance and second. */
const MAX_SHOWN_PER_SECOND = 3
const SECOND = 1_000

interface LinePickerOptions {
  readonly subject: TraceSubject
  readonly scope: TraceScope
  readonly history: FleetHistory
}

/** Picks the lines of a trace from all log lines, which must come in the order in which each instance wrote them. */
export class LinePicker {
  readonly picked: PickedLine[] = []
  private readonly instanceStates = new Map<string, InstanceState>()
  private readonly shown = new Map<string, number>()
  private readonly omitted = new Map<string, OmittedLines>()

  constructor (private readonly options: LinePickerOptions) {}

  /** Processes the next line. */
  observe (line: LogLine): void {
    const { subject, scope, history } = this.options
    if (!scope.timesByInstance.has(line.instance) && !isBlamed(line, scope)) return
    const state = this.instanceStates.get(line.instance) ?? new InstanceState(history)
    this.instanceStates.set(line.instance, state)
    const kind = findLineKind(line, subject, scope)
    switch (kind) {
      case 'own': { this.picked.push({ line, kind, inputs: state.getInputs(line) }); break }
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
    state.observe(line)
  }

  /** Lists the lines that were counted instead of picked, the most frequent first. */
  listOmitted (): readonly OmittedLines[] {
    return [...this.omitted.values()].sort((a, b) => b.count - a.count)
  }

  private isRepeated (line: LogLine): boolean {
    const key = JSON.stringify([line.instance, formatMessage(line), line.fields.server, Math.floor(line.time / SECOND)])
    const shown = (this.shown.get(key) ?? 0) + 1
    this.shown.set(key, shown)
    return shown > MAX_SHOWN_PER_SECOND
  }

  private count (line: LogLine): void {
    const { instance } = line
    const what = formatMessage(line)
    const server = listLineServers(line).find(name => this.options.scope.servers.has(name))
    const key = JSON.stringify([instance, what, server])
    const count = (this.omitted.get(key)?.count ?? 0) + 1
    this.omitted.set(key, { instance, what, ...server !== undefined && { server }, count })
  }
}

/** Formats the part and message of a line, with its reason if it has one. */
function formatMessage ({ part, message, fields: { cause, why } }: LogLine): string {
  const reason = cause ?? why
  return `${part}: ${message}${typeof reason === 'string' ? ` (${reason})` : ''}`
}
