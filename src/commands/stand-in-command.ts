import { Command, Option } from 'clipanion'
import { isJsonObject } from './is-json-object.js'
import { isPort } from './is-port.js'
import { waitForSignal } from './wait-for-signal.js'

interface StandIn {
  readonly listen: (port: number) => Promise<number>
  readonly close: () => void
}

/** What commands that run a stand-in share: its port and parameters, and that it runs until a signal. */
export abstract class StandInCommand extends Command {
  port = Option.String('--port', '0', { validator: isPort, description: 'port to listen on; 0 lets the system choose' })
  options = Option.String('--options', '{}', { validator: isJsonObject, description: 'its parameters, as JSON' })

  /** Listens on the port given, and on others for more than one; says where, and ends at a signal. */
  protected async runStandIns (standIns: readonly StandIn[]): Promise<number> {
    const ports = await Promise.all(standIns.map(async (standIn, i) => await standIn.listen(i === 0 ? this.port : 0)))
    this.context.stdout.write(JSON.stringify({ listening: ports[0], ports }) + '\n')
    await waitForSignal()
    for (const standIn of standIns) standIn.close()
    process.exit(0)
  }
}
