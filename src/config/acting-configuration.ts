import type { Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { checkInSteps } from './check-in-steps.js'
import type { CheckedFiles } from './checked-files.js'
import { ConfigurationHolder } from './configuration-holder.js'
import type { Entry } from './entry.js'
import type { Finding } from './finding.js'
import type { PackedFile } from './packed-file.js'
import { decodeFile } from './decode-file.js'
import { showFinding } from './show-finding.js'

/** Time after which work on files gives way to the loop, in ms. */
const SLICE = 5
const LOGGED_FINDINGS = 5

type Decoded = ReturnType<typeof decodeFile>

/**
 * Turns the files of a version into the configuration that this daemon acts on. Files that haven't changed are neither
 * parsed nor checked again, and the work gives way to the loop every few ms.
 */
@scoped(Lifecycle.ContainerScoped)
export class ActingConfiguration {
  private readonly decoded = new WeakMap<PackedFile, Decoded>()
  private readonly known = new WeakMap<Entry, unknown>()
  private latest = 0

  constructor (
    @inject(ConfigurationHolder) private readonly holder: ConfigurationHolder,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.log) private readonly log: LogSink
  ) {
    metrics.gauge('configuration_version', () => holder.value.version)
  }

  /**
   * Acts on a version unless a later one comes while it is being read. One that this program can't read, because a
   * later one accepted it, is left alone: the daemon goes on with what it has and says so.
   */
  async take (version: number, files: readonly PackedFile[]): Promise<void> {
    this.latest = version
    const checked = await this.check(files)
    if (this.latest !== version) return
    if (checked.ok) {
      this.holder.offer({ version, ...checked.val.configuration })
      this.log.write('info', 'configuration', 'acts on a version', { version })
      return
    }
    this.metrics.count('configuration_unreadable_total')
    this.log.write('error', 'configuration', 'can not read an accepted version', { version, findings: checked.val.slice(0, LOGGED_FINDINGS).map(showFinding) })
  }

  /** Merges and checks files as `checkFiles` does, giving way to the loop every few ms. */
  async check (files: readonly PackedFile[]): Promise<Result<CheckedFiles, readonly Finding[]>> {
    const byName = new Map(files.map(file => [file[0], file]))
    const steps = checkInSteps(new Map(files), { decode: name => this.decode(byName.get(name)!), known: this.known })
    for (let since = performance.now(); ;) {
      const step = steps.next()
      if (step.done === true) return step.value
      if (performance.now() - since < SLICE) continue
      await new Promise(resolve => setImmediate(resolve))
      since = performance.now()
    }
  }

  private decode (file: PackedFile): Decoded {
    const result = this.decoded.get(file) ?? decodeFile(...file)
    this.decoded.set(file, result)
    return result
  }
}
