import { FleetHistory } from './fleet-history.js'
import { listLineParts } from './list-line-parts.js'
import { listLineServers } from './list-line-servers.js'
import type { LogLine } from './log-line.js'
import type { LogSurvey } from './log-survey.js'
import { readLogs } from './read-logs.js'
import { ReadProblemCollector } from './read-problem-collector.js'

interface ReadSurveyOptions {
  readonly folder: string
  readonly files: readonly string[]
  readonly id: string
}

/** Reads all logs once, and collects the instances, the lines with the id, the state changes and what can't be read. */
export async function readSurvey ({ folder, files, id }: ReadSurveyOptions): Promise<LogSurvey> {
  const problems = new ReadProblemCollector(id)
  const startTimes = new Map<string, number>()
  const instances = new Map<string, string>()
  const mentions: LogLine[] = []
  const history = new FleetHistory()
  let lines = 0
  for await (const line of readLogs({ folder, files, onBroken: broken => problems.addBroken(broken), onUnreadable: (file, detail) => problems.addUnreadable(file, detail) })) {
    lines++
    history.observe(line)
    if (!startTimes.has(line.file)) startTimes.set(line.file, line.time)
    instances.set(line.instance, line.instance)
    const { part, fields: { name } } = line
    if (part === 'kernel' && typeof name === 'string') instances.set(name, line.instance)
    if (hasId(line, id)) mentions.push(line)
  }
  const ordered = [...startTimes].sort(([, a], [, b]) => a - b).map(([file]) => file)
  return { files: ordered, lines, instances, mentions, history, unread: problems.list(new Set(ordered)) }
}

function hasId (line: LogLine, id: string): boolean {
  return line.fields.request === id || line.fields.stream === id || line.fields.job === id || listLineServers(line).includes(id) || listLineParts(line).includes(id)
}
