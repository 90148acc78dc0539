import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { Err, Ok, type Result } from 'ts-results'
import type { Finding } from './check/finding.js'

/**
 * Reads the .yaml files of a folder and returns their texts by name. Other files are ignored, except that a .yml file is
 * a finding, since its author would expect it to be read.
 */
export function readYamlFiles (folder: string): Result<ReadonlyMap<string, string>, readonly Finding[]> {
  const findings: Finding[] = []
  const files = new Map<string, string>()
  const add = (file: string, message: string): void => { findings.push({ file, line: 1, column: 1, message }) }
  try {
    for (const { name } of readdirSync(folder, { withFileTypes: true }).filter(entry => entry.isFile() || entry.isSymbolicLink())) {
      if (name.endsWith('.yml')) add(name, 'ignored: rename it to end in .yaml')
      if (!name.endsWith('.yaml')) continue
      files.set(name, readFileSync(join(folder, name), 'utf8'))
    }
  } catch (error) {
    add(folder, `cannot be read: ${(error as Error).message}`)
  }
  return findings.length > 0 ? Err(findings) : Ok(files)
}
