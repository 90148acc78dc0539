import { join } from 'node:path'
import type { LogLine } from './log-line.js'
import { parseLogLine } from './parse-log-line.js'
import { readFileLines } from './read-file-lines.js'

interface ReadLogsOptions {
  readonly folder: string
  /** Paths relative to the folder. */
  readonly files: readonly string[]
  /** Called for each line that is not a log line. */
  readonly onBroken?: (line: { readonly file: string, readonly number: number, readonly text: string }) => void
  /** Called for each file that can't be read to its end. */
  readonly onUnreadable?: (file: string, detail: string) => void
}

/** Reads all log lines, file by file. Lines and files that can't be read are passed to the callbacks and skipped. */
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
