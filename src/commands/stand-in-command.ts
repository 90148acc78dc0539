import { Command, Option } from 'clipanion'
import { isJsonObject } from './is-json-object.js'
import { isPort } from './is-port.js'
import { waitForSignal } from './wait-for-signal.js'

interface StandIn {
  readonly listen: (port: number) => Promise<number>
  readonly close: () => void
}

/** Base of the commands that run stand-ins until a signal: their port and parameters. */
export abstract class StandInCommand extends Command {
  port = Option.String('--port', '0', { validator: isPort, description: 'port to listen on; 0 for a free port' })
  options = Option.String('--options', '{}', { validator: isJsonObject, description: 'its parameters, as JSON' })

  /** Starts the first stand-in on `--port` and others on free ports, prints the ports and exits at a signal. */
  protected async runStandIns (standIns: readonly StandIn[]): Promise<number> {
    const ports = await Promise.all(standIns.map(async (standIn, i) => await standIn.listen(i === 0 ? this.port : 0)))
    this.context.stdout.write(JSON.stringify({ listening: ports[0], ports }) + '\n')
    await waitForSignal()
    for (const standIn of standIns) standIn.close()
    process.exit(0)
  }
}
