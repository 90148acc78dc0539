import type { AccountRows } from '../admission/account/account-rows.js'
import { addAccountCounts } from '../admission/account/add-account-counts.js'
import { noCounts } from '../admission/account/no-counts.js'
import type { ReportLine } from './report-line.js'
import { splitKey } from './split-key.js'

/** Sums rows by the name that `findName` returns, sorted by name. Each row is in exactly one line. */
export function mergeLines (rows: AccountRows, findName: (caller: string, service: string) => string): readonly ReportLine[] {
  const lines = new Map<string, ReportLine>()
  for (const [key, counts] of Object.entries(rows)) {
    const { caller, service, work } = splitKey(key)
    const name = findName(caller, service)
    const line = lines.get(name) ?? { name, online: noCounts, batch: noCounts }
    lines.set(name, { ...line, [work]: addAccountCounts(line[work], counts) })
  }
  return [...lines.values()].sort((a, b) => a.name < b.name ? -1 : 1)
}
