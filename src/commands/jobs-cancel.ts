import { Command, Option } from 'clipanion'
import { EntryCommand } from './entry-command.js'
import type { ShownJob } from './shown-job.js'
import { formatJob } from './format-job.js'

/** Cancels a job. Once acknowledged it is durable, and no item starts after the stated bound. */
export class JobsCancelCommand extends EntryCommand {
  static override paths = [['jobs', 'cancel']]
  static override usage = Command.Usage({
    category: 'Jobs',
    description: 'cancel a job',
    details: 'Once it is acknowledged, no item starts after 5 s; 60 s where a daemon is cut off from the platform. What has been recorded stays readable. Exit codes: 0 acknowledged; 1 refused, the job goes on; 2 wrong usage; 3 no daemon answered, send it again.',
    examples: [['Cancel one', 'citronwheel jobs cancel batch-0123 --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  id = Option.String({ name: 'id' })

  async execute (): Promise<number> {
    return this.show(await this.client().call<ShownJob>('POST', `/v1/batches/${encodeURIComponent(this.id)}/cancel`), formatJob)
  }
}
