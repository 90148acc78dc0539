import { Command, Option } from 'clipanion'
import { Service } from '../../stand-ins/service/service.js'
import { waitForSignal } from './wait-for-signal.js'

/** Runs a stand-in service for trials. */
export class StandInServiceCommand extends Command {
  static override paths = [['stand-in', 'service']]
  static override usage = Command.Usage({
    category: 'Trials',
    description: 'run a stand-in service',
    examples: [['Run one on a port the system chooses', 'citronwheel stand-in service']]
  })

  port = Option.String('--port', '0', { description: 'port to listen on; 0 lets the system choose' })
  options = Option.String('--options', '{}', { description: 'its parameters, as JSON' })

  async execute (): Promise<number> {
    const standIn = new Service(JSON.parse(this.options))
    const port = await standIn.listen(Number(this.port))
    this.context.stdout.write(JSON.stringify({ listening: port }) + '\n')
    await waitForSignal()
    standIn.close()
    process.exit(0)
  }
}
