import { Command, Option } from 'clipanion'
import * as t from 'typanion'
import { Engine } from '../../stand-ins/engine/engine.js'
import { StandInCommand } from './stand-in-command.js'

/** Runs stand-in engines for trials. */
export class StandInEngineCommand extends StandInCommand {
  static override paths = [['stand-in', 'engine']]
  static override usage = Command.Usage({
    category: 'Trials',
    description: 'run a stand-in engine, or several',
    examples: [['Run one on a port the system chooses', 'citronwheel stand-in engine']]
  })

  count = Option.String('--count', '1', { validator: t.cascade(t.isNumber(), [t.isInteger(), t.isAtLeast(1)]), description: 'engines to run in this process, each on a port of its own' })

  async execute (): Promise<number> {
    return await this.runStandIns(Array.from({ length: this.count }, () => new Engine(this.options)))
  }
}
