import { Command } from 'clipanion'
import { EntryCommand } from './entry-command.js'

interface DrainAnswer { readonly instance: string, readonly state: 'draining' }

/** Starts the graceful shutdown of one daemon. */
export class DrainCommand extends EntryCommand {
  static override paths = [['drain']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'shut down one daemon gracefully, without interrupting requests',
    details: 'The daemon is removed from /v1/addresses, serves until cached address lists have expired and all exchanges have ended, then exits with 0. Exit codes: 0 draining has begun; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [['Drain the daemon at this address', 'citronwheel drain --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  async execute (): Promise<number> {
    const drained = await this.client().call<DrainAnswer>('POST', '/operator/drain')
    return this.show(drained, ({ instance }) => `${instance}  draining`)
  }
}
