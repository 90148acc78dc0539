import { Command } from 'clipanion'
import { Service } from '../../stand-ins/service/service.js'
import { StandInCommand } from './stand-in-command.js'

/** Runs a stand-in service for testing. */
export class StandInServiceCommand extends StandInCommand {
  static override paths = [['stand-in', 'service']]
  static override usage = Command.Usage({
    category: 'Testing',
    description: 'run a stand-in service',
    examples: [['Run one on a free port', 'citronwheel stand-in service']]
  })

  async execute (): Promise<number> {
    return await this.runStandIns([new Service(this.options)])
  }
}
