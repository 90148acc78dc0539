import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { Err, Ok, type Result } from 'ts-results'
import type { Finding } from './finding.js'

/**
 * The text of each .yaml file of a folder by its name. Files of other kinds are left alone, but one that ends in
 * .yml is a finding, for its author would think it in force.
 */
export function readYamlFiles (folder: string): Result<ReadonlyMap<string, string>, readonly Finding[]> {
  const findings: Finding[] = []
  const files = new Map<string, string>()
  const add = (file: string, message: string): void => { findings.push({ file, line: 1, column: 1, message }) }
  try {
    for (const { name } of readdirSync(folder, { withFileTypes: true }).filter(entry => entry.isFile() || entry.isSymbolicLink())) {
      if (name.endsWith('.yml')) add(name, 'is not read: rename it so that it ends in .yaml')
      if (!name.endsWith('.yaml')) continue
      files.set(name, readFileSync(join(folder, name), 'utf8'))
    }
  } catch (error) {
    add(folder, `can not be read: ${(error as Error).message}`)
  }
  return findings.length > 0 ? Err(findings) : Ok(files)
}
