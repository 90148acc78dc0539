import { readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { Err, Ok, type Result } from 'ts-results'

/** The files below a folder, by name within it; an error where there is no such folder. */
export function listLogFiles (folder: string): Result<readonly string[], string> {
  try {
    const names = readdirSync(folder, { recursive: true, encoding: 'utf8' })
    return Ok(names.filter(name => isFile(join(folder, name))).sort())
  } catch (error) {
    return Err((error as Error).message)
  }
}

/** A link that leads nowhere counts, so that reading it says so. */
function isFile (path: string): boolean {
  return statSync(path, { throwIfNoEntry: false })?.isFile() ?? true
}
