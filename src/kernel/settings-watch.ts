import { readFileSync } from 'node:fs'
import type { LogSink } from '../observe/log-sink.js'
import type { Clock } from './clock.js'

/** Between two looks at the file, ms: it may change without a word, and nobody waits for it within seconds. */
const POLL_PERIOD = 2_000

interface SettingsWatchOptions {
  readonly file: string
  readonly clock: Clock
  readonly log: LogSink
  /** Reads the file anew and puts it in force; throws where it can't be read. Says what to log. */
  readonly apply: () => Readonly<Record<string, unknown>>
}

/** Puts a settings file in force whenever it has changed, told so by SIGHUP or not. One that can't be read leaves what was in force. */
export class SettingsWatch {
  private text: string

  constructor (private readonly options: SettingsWatchOptions) {
    this.text = readFileSync(options.file, 'utf8')
    process.on('SIGHUP', () => {
      options.log.write('info', 'kernel', 'was told of new settings', { file: options.file })
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
      log.write('info', 'kernel', 'read its changed settings', apply())
    } catch (error) {
      log.write('error', 'kernel', 'could not read its changed settings, and goes on with those it had', { file, error: (error as Error).message })
    }
  }
}
