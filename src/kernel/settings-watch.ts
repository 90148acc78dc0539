import { readFileSync } from 'node:fs'
import type { LogSink } from '../observe/log-sink.js'
import type { Clock } from './clock.js'

/** Interval of checks of the file, which may change without a signal, ms. */
const POLL_PERIOD = 2_000

interface SettingsWatchOptions {
  readonly file: string
  readonly clock: Clock
  readonly log: LogSink
  /** Reads the file and applies it; throws where it is malformed. Returns the log fields. */
  readonly apply: () => Readonly<Record<string, unknown>>
}

/** Applies a settings file whenever it has changed, on SIGHUP or by polling. A malformed file changes nothing. */
export class SettingsWatch {
  private text: string

  constructor (private readonly options: SettingsWatchOptions) {
    this.text = readFileSync(options.file, 'utf8')
    process.on('SIGHUP', () => {
      options.log.write('info', 'kernel', 'received SIGHUP', { file: options.file })
      this.check()
    })
    options.clock.every(POLL_PERIOD, () => this.check())
  }

  private check (): void {
    const { file, log, apply } = this.options
    try {
      const text = readFileSync(file, 'utf8')
      if (text === this.text) return
      this.text = text
      log.write('info', 'kernel', 'reloaded the settings', apply())
    } catch (error) {
      log.write('error', 'kernel', 'could not reload the settings; the previous ones stay in force', { file, error: (error as Error).message })
    }
  }
}
