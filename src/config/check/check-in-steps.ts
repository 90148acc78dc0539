import { Err, Ok, type Result } from 'ts-results'
import { checkConsistency } from './check-consistency.js'
import { checkEntry } from './check-entry.js'
import type { CheckedFiles } from './checked-files.js'
import type { Configuration } from '../configuration.js'
import { configurationSchema } from '../configuration-schema.js'
import type { Entry } from '../entry.js'
import type { Finding } from './finding.js'
import { mergeEntries } from '../merge-entries.js'
import { decodeFile } from '../decode-file.js'
import { maxFileBytes } from '../rollout/max-file-bytes.js'

const EMPTY_ENTRY: Entry = { type: 'map', keys: new Map(), location: { file: '', line: 1, column: 1 }, replaced: [] }

/**
 * Merges and checks files like `checkFiles`, yielding after each step: handling thousands of files at once would block
 * the event loop and stall every response stream of the daemon.
 */
export function * checkInSteps (files: ReadonlyMap<string, string>): Generator<void, Result<CheckedFiles, readonly Finding[]>> {
  const findings: Finding[] = []
  const roots: [Entry, ...Entry[]] = [EMPTY_ENTRY]
  for (const [file, text] of [...files].sort(([a], [b]) => a < b ? -1 : 1)) {
    if (Buffer.byteLength(text) > maxFileBytes) findings.push({ file, line: 1, column: 1, message: `over the limit of ${maxFileBytes} bytes: split it` })
    const parsed = decodeFile(file, text)
    if (parsed.err) findings.push(...parsed.val)
    else if (parsed.val.type !== 'map') findings.push({ ...parsed.val.location, message: 'a file must be a map of keys' })
    else roots.push(parsed.val)
    yield
  }
  const root = yield * mergeEntries(roots)
  const configuration = checkEntry(root, configurationSchema, '', findings) as Omit<Configuration, 'version'>
  yield
  if (findings.length === 0) findings.push(...checkConsistency(configuration, root))
  return findings.length > 0 ? Err(orderFindings(findings)) : Ok({ configuration, root })
}

function orderFindings (findings: readonly Finding[]): readonly Finding[] {
  return [...findings].sort((a, b) => a.file < b.file ? -1 : a.file > b.file ? 1 : a.line - b.line || a.column - b.column)
}
