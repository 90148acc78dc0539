import { readFileSync } from 'node:fs'
import { Err, Ok, type Result } from 'ts-results'
import type { Settings } from '../kernel/settings.js'
import { checkEntry } from './check/check-entry.js'
import type { Finding } from './check/finding.js'
import { decodeFile } from './decode-file.js'
import { settingsSchema } from './settings-schema.js'

/** Reads and checks a daemon's own settings; returns all findings together. */
export function readSettings (file: string): Result<Settings, readonly Finding[]> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return Err([{ file, line: 1, column: 1, message: `cannot be read: ${(error as Error).message}` }])
  }
  const parsed = decodeFile(file, text)
  if (parsed.err) return parsed
  const findings: Finding[] = []
  const settings = checkEntry(parsed.val, settingsSchema, '', findings) as Settings
  return findings.length > 0 ? Err(findings) : Ok(settings)
}
