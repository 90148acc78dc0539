import { readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { Err, Ok, type Result } from 'ts-results'

/** Lists the files below a folder, relative to it and sorted. Returns the error message if the folder can't be read. */
export function listLogFiles (folder: string): Result<readonly string[], string> {
  try {
    const names = readdirSync(folder, { recursive: true, encoding: 'utf8' })
    return Ok(names.filter(name => isFile(join(folder, name))).sort())
  } catch (error) {
    return Err((error as Error).message)
  }
}

/** A dangling link counts as a file, so that it is reported as unreadable later. */
function isFile (path: string): boolean {
  return statSync(path, { throwIfNoEntry: false })?.isFile() ?? true
}
