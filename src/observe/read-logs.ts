import { join } from 'node:path'
import type { LogLine } from './log-line.js'
import { parseLogLine } from './parse-log-line.js'
import { readFileLines } from './read-file-lines.js'

interface ReadLogsOptions {
  readonly folder: string
  /** Names within the folder. */
  readonly files: readonly string[]
  /** Hears of each line that is none of a log. */
  readonly onBroken?: (line: { readonly file: string, readonly number: number, readonly text: string }) => void
  /** Hears of each file that can't be read to its end. */
  readonly onUnreadable?: (file: string, detail: string) => void
}

/** All lines of logs, file after file. What can't be read is told to the listeners, and reading goes on. */
export async function * readLogs ({ folder, files, onBroken = () => {}, onUnreadable = () => {} }: ReadLogsOptions): AsyncGenerator<LogLine> {
  for (const file of files) {
    let number = 0
    try {
      for await (const text of readFileLines(join(folder, file))) {
        number++
        const line = parseLogLine(text, { file, number })
        if (line !== undefined) yield line
        else if (text.trim() !== '') onBroken({ file, number, text })
      }
    } catch (error) {
      onUnreadable(file, (error as Error).message)
    }
  }
}
