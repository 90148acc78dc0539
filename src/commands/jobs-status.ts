import { Command, Option } from 'clipanion'
import { EntryCommand } from './entry-command.js'
import type { ShownJob } from './shown-job.js'
import { formatJob } from './format-job.js'

/** Shows one job: its item counts, its due time and whether it will be late. */
export class JobsStatusCommand extends EntryCommand {
  static override paths = [['jobs', 'status']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'show a job, and whether it will be late',
    details: 'Exit codes: 0 shown; 1 refused, or no such job; 2 wrong usage; 3 no daemon answered.',
    examples: [['Show a job', 'citronwheel jobs status batch-0123 --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  id = Option.String({ name: 'id' })

  async execute (): Promise<number> {
    return this.show(await this.client().call<ShownJob>('GET', `/v1/batches/${encodeURIComponent(this.id)}`), formatJob)
  }
}
