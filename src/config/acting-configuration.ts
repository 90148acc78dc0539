import { inject, Lifecycle, scoped } from 'tsyringe'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { checkFiles } from './check-files.js'
import { ConfigurationHolder } from './configuration-holder.js'
import type { Entry } from './entry.js'
import type { PackedFile } from './packed-file.js'
import { parseFile } from './parse-file.js'
import { showFinding } from './show-finding.js'

/** Longest time the loop is held by reading files, in ms. */
const SLICE = 5
const LOGGED_FINDINGS = 5

type Parsed = ReturnType<typeof parseFile>

/**
 * Turns the files of a version into the configuration that this daemon acts on. Files that haven't changed aren't
 * parsed again, and parsing gives way to the loop every few ms.
 */
@scoped(Lifecycle.ContainerScoped)
export class ActingConfiguration {
  private readonly parsed = new WeakMap<PackedFile, Parsed>()
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

  /** Merges and checks files as `checkFiles` does. */
  async check (files: readonly PackedFile[]): Promise<ReturnType<typeof checkFiles>> {
    const parsed = await this.parse(files)
    return checkFiles(new Map(files), { parse: name => parsed.get(name)!, known: this.known })
  }

  private async parse (files: readonly PackedFile[]): Promise<ReadonlyMap<string, Parsed>> {
    const all = new Map<string, Parsed>()
    let since = performance.now()
    for (const file of files) {
      const result = this.parsed.get(file) ?? parseFile(...file)
      this.parsed.set(file, result)
      all.set(file[0], result)
      if (performance.now() - since < SLICE) continue
      await new Promise(resolve => setImmediate(resolve))
      since = performance.now()
    }
    return all
  }
}
