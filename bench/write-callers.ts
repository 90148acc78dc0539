import { createHash } from 'node:crypto'
import { cpSync, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const FOLDER = 'bench/folder'
const CALLERS_PER_FILE = 500

/** Copies the bench's folder and adds `count` callers, `each` of them per file. Returns the path of the copy, or of the original if `count` is 0. */
export function writeCallers (count: number, each = CALLERS_PER_FILE): string {
  if (count === 0) return FOLDER
  const folder = mkdtempSync(join(tmpdir(), 'citronwheel-folder-'))
  cpSync(FOLDER, folder, { recursive: true })
  for (let start = 0; start < count; start += each) {
    const callers = Array.from({ length: Math.min(each, count - start) }, (_, i) => {
      const name = `organisation-${start + i}`
      return [name, { share: 1, tokens: [createHash('sha256').update(`${name}-token`).digest('hex')] }]
    })
    writeFileSync(join(folder, `50-callers-${String(start).padStart(5, '0')}.yaml`), JSON.stringify({ callers: Object.fromEntries(callers) }))
  }
  return folder
}
