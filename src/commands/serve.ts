import { Command, Option } from 'clipanion'
import { readSettings } from '../config/read-settings.js'
import { formatFinding } from '../config/check/format-finding.js'
import { EntryServer } from '../entry/entry-server.js'
import { limitHeap } from '../kernel/limit-heap.js'
import { Shutdown } from '../kernel/shutdown.js'
import { createLog } from '../observe/create-log.js'
import { PeerLinks } from '../peers/peer-links.js'
import { createDaemon } from './create-daemon.js'
import { exitCodes } from './exit-codes.js'
import { waitForSignal } from './wait-for-signal.js'

/** Runs a daemon until SIGTERM, SIGINT or a drain, then shuts it down gracefully. */
export class ServeCommand extends Command {
  static override paths = [['serve']]
  static override usage = Command.Usage({
    description: 'run a daemon',
    details: 'Exit codes: 0 shut down gracefully; 2 invalid settings, with all findings on standard error.',
    examples: [['Run with the settings of this instance', 'citronwheel serve --settings /etc/citronwheel.yaml']]
  })

  settings = Option.String('--settings', { required: true, description: 'YAML file with the settings of this daemon' })

  async execute (): Promise<number> {
    limitHeap()
    const read = readSettings(this.settings)
    if (read.err) {
      this.context.stderr.write(read.val.map(finding => formatFinding(finding) + '\n').join(''))
      return exitCodes.usage
    }
    const settings = read.val
    const log = createLog({ ...settings.log, instance: settings.instance })
    const daemon = createDaemon(settings, log)
    await daemon.start()
    this.context.stdout.write(JSON.stringify({
      listening: daemon.container.resolve(EntryServer).port,
      peerPort: daemon.container.resolve(PeerLinks).port
    }) + '\n')
    await Promise.race([waitForSignal(), daemon.container.resolve(Shutdown).wait()])
    log.write('info', 'kernel', 'shuts down')
    await daemon.shutDown()
    log.write('info', 'kernel', 'ended')
    process.exit(0)
  }
}
