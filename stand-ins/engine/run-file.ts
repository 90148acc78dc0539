import { appendFileSync } from 'node:fs'
import { hashTokens } from './hash-tokens.js'
import type { RunLine } from './run-line.js'

/** Appends runs to a file: for a run without a mark its request's id, for a marked run a JSON line at its start and at its end. */
export class RunFile {
  constructor (private readonly file: string | undefined) {}

  recordStart (id: string, run: string | undefined, resumeFrom: readonly string[]): void {
    if (run === undefined) this.write(id)
    else this.write(encodeLine({ type: 'started', id, run, resumed: resumeFrom.length, from: hashTokens(resumeFrom) }))
  }

  recordEnd (run: string | undefined, outcome: 'finished' | 'cancelled'): void {
    if (run !== undefined) this.write(encodeLine({ type: 'ended', run, outcome }))
  }

  private write (line: string): void {
    if (this.file !== undefined) appendFileSync(this.file, `${line}\n`)
  }
}

function encodeLine (line: RunLine): string {
  return JSON.stringify(line)
}
