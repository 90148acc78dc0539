import { Command } from 'clipanion'
import { askMembers } from './ask-members.js'
import { EntryCommand } from './entry-command.js'
import type { FleetStatus } from './fleet-status.js'

/** Shows the daemons of the fleet, the active configuration of each, and which don't answer. */
export class StatusCommand extends EntryCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({
    category: 'Operators',
    description: 'show the daemons and their active configuration',
    details: 'Exit codes: 0 shown; 1 refused; 2 wrong usage; 3 no daemon answered.',
    examples: [['Show all daemons of the fleet', 'citronwheel status --entry http://10.0.0.1:8080 --token TOKEN']]
  })

  async execute (): Promise<number> {
    const status = await askMembers<FleetStatus>(this.client(), '/operator/status', url => this.client(url))
    return this.show(status, ({ answers, silent }) => [
      ...answers.map(formatDaemon),
      ...silent.map(name => `${name}  does not answer`)
    ].sort().join('\n'))
  }
}

function formatDaemon ({ instance, configuration, members }: FleetStatus): string {
  const alive = members.filter(({ state }) => state === 'alive').length
  return `${instance}  configuration ${configuration}  sees ${alive} of ${members.length} members alive`
}
