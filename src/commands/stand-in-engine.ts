import { Command, Option } from 'clipanion'
import * as t from 'typanion'
import { Engine } from '../../stand-ins/engine/engine.js'
import { StandInCommand } from './stand-in-command.js'

/** Runs stand-in engines for testing. */
export class StandInEngineCommand extends StandInCommand {
  static override paths = [['stand-in', 'engine']]
  static override usage = Command.Usage({
    category: 'Testing',
    description: 'run one or more stand-in engines',
    examples: [['Run one on a free port', 'citronwheel stand-in engine']]
  })

  count = Option.String('--count', '1', { validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]), description: 'number of engines in this process, each on its own port' })

  async execute (): Promise<number> {
    return await this.runStandIns(Array.from({ length: this.count }, () => new Engine(this.options)))
  }
}
