import { listLineServers } from '../list-line-servers.js'
import type { LogLine } from '../log-line.js'
import { logPatterns } from '../log-patterns.js'
import type { TraceScope } from './trace-scope.js'
import type { TraceSubject } from './trace-subject.js'

interface FindTraceScopeOptions {
  readonly subject: TraceSubject
  /** Instances by the names under which log lines refer to them. */
  readonly instances: ReadonlyMap<string, string>
}

/**
 * Finds the servers and instances that the lines of a trace involve, and when. An instance counts as involved also where
 * others name it, since a daemon that ended may have logged nothing itself. Routine requests of a traced server give no times.
 */
export function findTraceScope (lines: readonly LogLine[], { subject, instances }: FindTraceScopeOptions): TraceScope {
  const timesByInstance = new Map<string, number[]>()
  for (const line of lines) {
    const isRelevantTime = subject.type !== 'server' || !logPatterns.isRoutine(line)
    for (const instance of listInstances(line, instances)) {
      const known = timesByInstance.get(instance) ?? []
      if (isRelevantTime) known.push(line.time)
      timesByInstance.set(instance, known)
    }
  }
  for (const list of timesByInstance.values()) list.sort((a, b) => a - b)
  return { servers: new Set(subject.type === 'server' ? [subject.id] : lines.flatMap(listLineServers)), blamed: new Set(lines.flatMap(({ fields: { prompt } }) => typeof prompt === 'string' ? [prompt] : [])), timesByInstance }
}

/** Lists the instance that wrote the line and those that it names. */
function listInstances ({ instance, fields }: LogLine, instances: ReadonlyMap<string, string>): ReadonlySet<string> {
  const named = Object.values(fields).flat().flatMap(value => typeof value === 'string' ? instances.get(value) ?? [] : [])
  return new Set([instance, ...named])
}
