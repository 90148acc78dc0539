import { Command, Option } from 'clipanion'
import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { EntryServer } from '../entry/entry-server.js'
import { createLog } from '../observe/create-log.js'
import { PeerLinks } from '../peers/peer-links.js'
import { createDaemon } from './create-daemon.js'
import { waitForSignal } from './wait-for-signal.js'

/** Runs a daemon until SIGTERM or SIGINT, then ends it gracefully. */
export class ServeCommand extends Command {
  static override paths = [['serve']]
  static override usage = Command.Usage({
    description: 'run a daemon',
    examples: [['Run with the settings of this instance', 'citronwheel serve --settings /etc/citronwheel.yaml']]
  })

  settings = Option.String('--settings', { required: true, description: 'the YAML file of this daemon\'s settings' })

  async execute (): Promise<number> {
    const settings = parse(readFileSync(this.settings, 'utf8'))
    const log = createLog({ ...settings.log, instance: settings.instance })
    const daemon = createDaemon(settings, log)
    await daemon.start()
    this.context.stdout.write(JSON.stringify({
      listening: daemon.container.resolve(EntryServer).port,
      peerPort: daemon.container.resolve(PeerLinks).port
    }) + '\n')
    await waitForSignal()
    log.write('info', 'kernel', 'shuts down')
    await daemon.shutDown()
    log.write('info', 'kernel', 'ended')
    process.exit(0)
  }
}
