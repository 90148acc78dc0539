import { Command } from 'clipanion'
import { Platform } from '../../stand-ins/platform/platform.js'
import { StandInCommand } from './stand-in-command.js'

/** Runs a stand-in platform for testing. */
export class StandInPlatformCommand extends StandInCommand {
  static override paths = [['stand-in', 'platform']]
  static override usage = Command.Usage({
    category: 'Testing',
    description: 'run a stand-in platform',
    examples: [['Run one on a free port', 'citronwheel stand-in platform']]
  })

  async execute (): Promise<number> {
    return await this.runStandIns([new Platform(this.options)])
  }
}
