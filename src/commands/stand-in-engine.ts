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

  count = Option.String('--count', '1', { description: 'engines to run in this process, each on a port of its own' })

  async execute (): Promise<number> {
    const engines = Array.from({ length: Number(this.count) }, () => new Engine(JSON.parse(this.options)))
    const ports = await Promise.all(engines.map(async (engine, i) => await engine.listen(i === 0 ? Number(this.port) : 0)))
    this.context.stdout.write(JSON.stringify({ listening: ports[0], ports }) + '\n')
    await waitForSignal()
    for (const engine of engines) engine.close()
    process.exit(0)
  }
}
