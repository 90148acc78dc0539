import { Command, Option } from 'clipanion'
import { writeFileSync } from 'node:fs'
import { failUnreachable } from '../kernel/unreachable.js'
import { buildTracePage } from '../observe/trace/build-trace-page.js'
import { readTrace } from '../observe/trace/read-trace.js'
import { showTrace } from '../observe/trace/show-trace.js'
import { showReadProblems } from '../observe/show-read-problems.js'
import type { TraceError } from '../observe/trace/trace-error.js'
import { exitCodes } from './exit-codes.js'

/** Shows the history of a request, an item, a job or a server from the logs of all instances, offline. */
export class TraceCommand extends Command {
  static override paths = [['trace']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show the log events of an id',
    details: 'The id is that of a request, an item of a job, a job or a backend server; an item includes its job, a job its items. Shows the log lines of the id with the inputs of their daemon\'s decisions, warnings and errors within a second of them, changes of server state seen by the daemons, and events of other requests at the same servers. Lines are in causal order, otherwise by time stamp; where the two differ, the line shows why. Exit codes: 0 shown; 1 no line has the id; 2 wrong usage, no such folder, no log in it, or the page can\'t be written.',
    examples: [
      ['Find out why a request failed', 'citronwheel trace 7b8351b3d276bfc8 --logs logs/'],
      ['One item of a job, as a page', 'citronwheel trace cd1a93e9cb19cccf --logs logs/ --html item.html']
    ]
  })

  id = Option.String({ required: true })
  logs = Option.String('--logs', { required: true, description: 'folder with the logs of all instances, one JSON object per line' })
  html = Option.String('--html', { description: 'write a self-contained HTML page to this file' })
  json = Option.Boolean('--json', false, { description: 'print the answer as JSON' })

  async execute (): Promise<number> {
    const trace = await readTrace({ folder: this.logs, id: this.id })
    if (trace.err) return this.showError(trace.val)
    this.context.stdout.write((this.json ? JSON.stringify(trace.val, null, 2) : showTrace(trace.val)) + '\n')
    return this.html === undefined ? exitCodes.ok : this.writePage(this.html, buildTracePage(trace.val))
  }

  private writePage (file: string, page: string): number {
    try {
      writeFileSync(file, page)
      return exitCodes.ok
    } catch (error) {
      this.context.stderr.write(`the page can't be written: ${(error as Error).message}\n`)
      return exitCodes.usage
    }
  }

  private showError (error: TraceError): number {
    if (this.json) this.context.stdout.write(JSON.stringify({ error }) + '\n')
    switch (error.type) {
      case 'no folder': {
        this.context.stderr.write(`--logs: ${error.detail}\n`)
        return exitCodes.usage
      }
      case 'no log': {
        this.writeLines([`--logs: none of ${error.files} files in ${this.logs} contains a log line`, ...showReadProblems(error.unread)])
        return exitCodes.usage
      }
      case 'unknown id': {
        this.writeLines([`no line has ${this.id} as its request, job or server (${error.lines} lines of ${error.instances} instances)`, ...showReadProblems(error.unread)])
        return exitCodes.refused
      }
      default: return failUnreachable(error)
    }
  }

  private writeLines (lines: readonly string[]): void {
    this.context.stderr.write(lines.join('\n') + '\n')
  }
}
