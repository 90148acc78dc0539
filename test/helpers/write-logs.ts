import type { ExecutionContext } from 'ava'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'

/** Origin of the timestamps. */
const START = Date.parse('2026-01-24T08:00:00.000Z')

/** Writes log files into a temporary folder that is removed after the test. A line is text, or fields with a timestamp `at` in ms. */
export function writeLogs (t: ExecutionContext, files: Readonly<Record<string, ReadonlyArray<string | Readonly<Record<string, unknown>>>>>): string {
  const folder = mkdtempSync(join(tmpdir(), 'logs-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  for (const [name, lines] of Object.entries(files)) {
    const path = join(folder, name)
    mkdirSync(dirname(path), { recursive: true })
    writeFileSync(path, lines.map(line => typeof line === 'string' ? line : JSON.stringify(buildLine(name, line))).join('\n') + '\n')
  }
  return folder
}

function buildLine (file: string, { at, ...fields }: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
  return { instance: file.replace(/\.log.*$/, ''), level: 'info', timestamp: new Date(START + Number(at)).toISOString(), ...fields }
}
