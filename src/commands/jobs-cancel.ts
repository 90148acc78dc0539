import { Command, Option } from 'clipanion'
import { EntryCommand } from './entry-command.js'
import type { ShownJob } from './shown-job.js'
import { formatJob } from './format-job.js'

/** Cancels a job. An acknowledged cancellation is durable, and no item starts after the documented bound. */
export class JobsCancelCommand extends EntryCommand {
  static override paths = [['jobs', 'cancel']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'cancel a job',
    details: 'No item starts later than 5 s after the acknowledgement, or 60 s on a daemon that can\'t reach the platform. Recorded results stay readable. Exit codes: 0 acknowledged; 1 refused, the job continues; 2 wrong usage; 3 no daemon answered, retry.',
    examples: [['Cancel a job', 'citronwheel jobs cancel batch-0123 --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  id = Option.String({ name: 'id' })

  async execute (): Promise<number> {
    return this.show(await this.client().call<ShownJob>('POST', `/v1/batches/${encodeURIComponent(this.id)}/cancel`), formatJob)
  }
}
