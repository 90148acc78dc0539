import { Command, Option } from 'clipanion'
import { EntryCommand } from './entry-command.js'
import type { ShownJob } from './shown-job.js'
import { formatJob } from './format-job.js'

/** Lists the caller's jobs, newest first. */
export class JobsListCommand extends EntryCommand {
  static override paths = [['jobs', 'list']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'list jobs, newest first',
    details: 'Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [['The newest five', 'citronwheel jobs list --limit 5 --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  limit = Option.String('--limit', '20', { description: 'most jobs to list, up to 100' })
  after = Option.String('--after', { description: 'id of the job to continue after' })

  async execute (): Promise<number> {
    const query = new URLSearchParams({ limit: this.limit, ...this.after === undefined ? {} : { after: this.after } })
    const page = await this.client().call<{ data: readonly ShownJob[], has_more: boolean, last_id: string | null }>('GET', `/v1/batches?${query}`)
    return this.show(page, ({ data, has_more: more, last_id: last }) => [...data.map(formatJob), ...more ? [`more jobs: continue with --after ${last}`] : []].join('\n'))
  }
}
