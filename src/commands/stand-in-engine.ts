import { Command, Option } from 'clipanion'
import { Engine } from '../../stand-ins/engine/engine.js'
import { waitForSignal } from './wait-for-signal.js'

/** Runs a stand-in engine for trials. */
export class StandInEngineCommand extends Command {
  static override paths = [['stand-in', 'engine']]
  static override usage = Command.Usage({
    category: 'Trials',
    description: 'run a stand-in engine',
    examples: [['Run one on a port the system chooses', 'citronwheel stand-in engine']]
  })

  port = Option.String('--port', '0', { description: 'port to listen on; 0 lets the system choose' })
  options = Option.String('--options', '{}', { description: 'its parameters, as JSON' })

  async execute (): Promise<number> {
    const standIn = new Engine(JSON.parse(this.options))
    const port = await standIn.listen(Number(this.port))
    this.context.stdout.write(JSON.stringify({ listening: port }) + '\n')
    await waitForSignal()
    standIn.close()
    process.exit(0)
  }
}
