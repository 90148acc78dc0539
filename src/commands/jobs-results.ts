import { Command, Option } from 'clipanion'
import { pipeline } from 'node:stream/promises'
import { request } from 'undici'
import { sharedAgent } from '../http/shared-agent.js'
import { EntryCommand } from './entry-command.js'
import { exitCodes } from './exit-codes.js'

/** Writes a job's results to standard output, one line per item. */
export class JobsResultsCommand extends EntryCommand {
  static override paths = [['jobs', 'results']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'write the results of a job, one line per item',
    details: 'While the job runs, it writes the results recorded so far. The lines are JSON with and without --json. Exit codes: 0 all written; 1 refused, no such job, or the response was interrupted; 2 wrong usage; 3 no daemon answered.',
    examples: [
      ['Save the completed items', 'citronwheel jobs results batch-0123 --entry http://10.0.0.1:8080 --token TOKEN > results.jsonl'],
      ['Show the items that failed or were cancelled', 'citronwheel jobs results batch-0123 --errors --entry http://10.0.0.1:8080 --token TOKEN']
    ]
  })

  id = Option.String({ name: 'id' })
  errors = Option.Boolean('--errors', false, { description: 'write the failed and cancelled items instead' })

  async execute (): Promise<number> {
    const path = `/v1/files/${encodeURIComponent(`${this.id}.${this.errors ? 'errors' : 'output'}`)}/content`
    const answer = await request(new URL(path, this.entry), { dispatcher: sharedAgent, headers: { authorization: `Bearer ${this.token}` } }).catch((error: Error) => error)
    if (answer instanceof Error) return this.showError({ type: 'unreachable', detail: `${this.entry}: ${answer.message}` })
    if (answer.statusCode >= 300) {
      const problem = await answer.body.json() as { detail?: string }
      return this.showError({ type: 'refused', status: answer.statusCode, detail: String(problem.detail) })
    }
    try {
      await pipeline(answer.body, this.context.stdout, { end: false })
      return exitCodes.ok
    } catch {
      this.context.stderr.write('the response was interrupted; the output is incomplete\n')
      return exitCodes.refused
    }
  }
}
