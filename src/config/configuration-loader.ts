import { Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { checkInSteps } from './check/check-in-steps.js'
import { checkValues } from './check/check-values.js'
import type { Configuration } from './configuration.js'
import { ConfigurationHolder } from './configuration-holder.js'
import type { Finding } from './check/finding.js'
import type { PackedFile } from './rollout/packed-file.js'
import { mergeValues } from './merge-values.js'
import { readFileValue } from './read-file-value.js'
import { formatFinding } from './check/format-finding.js'
import type { ValueMap } from './value-map.js'

/** Longest time in ms that checking occupies the event loop before it yields. */
const MAX_SLICE = 5
const MAX_LOGGED_FINDINGS = 5

type CheckedConfiguration = Omit<Configuration, 'version'>

/**
 * Parses, merges and checks the files of an accepted version and activates the result on this daemon. Files that haven't
 * changed are neither parsed nor checked again, and the work yields to the event loop every few ms.
 */
@scoped(Lifecycle.ContainerScoped)
export class ConfigurationLoader {
  private readonly parsedFiles = new WeakMap<PackedFile, ValueMap>()
  private readonly checkedValues = new WeakMap<object, unknown>()
  private latestVersion = 0

  constructor (
    @inject(ConfigurationHolder) private readonly holder: ConfigurationHolder,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(tokens.log) private readonly log: LogSink
  ) {
    metrics.gauge('configuration_version', () => holder.value.version)
  }

  /**
   * Activates a version unless a later one arrives while it is being checked. A version that this release can't read,
   * because a newer release accepted it, is logged and skipped: the current configuration stays active.
   */
  async load (version: number, files: readonly PackedFile[]): Promise<void> {
    this.latestVersion = version
    const checked = await this.check(files)
    if (this.latestVersion !== version) return
    if (checked.ok) {
      this.holder.offer({ version, ...checked.val })
      this.log.write('info', 'configuration', 'configuration activated', { version })
      return
    }
    this.metrics.count('configuration_unreadable_total')
    this.log.write('error', 'configuration', 'accepted configuration cannot be read', { version, findings: checked.val.slice(0, MAX_LOGGED_FINDINGS).map(formatFinding) })
  }

  /**
   * Merges and checks files as `checkFiles` does, yielding to the event loop every few ms. If anything is wrong, all
   * files are parsed again to give each finding its location.
   */
  async check (files: readonly PackedFile[]): Promise<Result<CheckedConfiguration, readonly Finding[]>> {
    const configuration = await this.runInSlices(this.checkParsed(files))
    if (configuration !== undefined) return Ok(configuration)
    return (await this.runInSlices(checkInSteps(new Map(files)))).map(({ configuration }) => configuration)
  }

  /** Caches only the plain values of each file: entries with locations take 1.9 KB a caller, and only findings need them. */
  private * checkParsed (files: readonly PackedFile[]): Generator<void, CheckedConfiguration | undefined> {
    const values: ValueMap[] = []
    for (const file of [...files].sort(([a], [b]) => a < b ? -1 : 1)) {
      const value = this.parsedFiles.get(file) ?? readFileValue(...file)
      if (value === undefined) return undefined
      this.parsedFiles.set(file, value)
      values.push(value)
      yield
    }
    return yield * checkValues(yield * mergeValues(values), this.checkedValues)
  }

  private async runInSlices<T> (steps: Generator<void, T>): Promise<T> {
    for (let sliceStart = performance.now(); ;) {
      const step = steps.next()
      if (step.done === true) return step.value
      if (performance.now() - sliceStart < MAX_SLICE) continue
      await new Promise(resolve => setImmediate(resolve))
      sliceStart = performance.now()
    }
  }
}
