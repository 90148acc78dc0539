import type { AccountTimes } from '../admission/account/account-times.js'
import { addTimes } from '../admission/account/add-times.js'
import { mergeRows } from '../admission/account/merge-rows.js'
import { noCounts } from '../admission/account/no-counts.js'
import { mergeLines } from './merge-lines.js'
import { readServiceTimes } from './read-service-times.js'
import type { ReportDay } from './report-day.js'
import type { ReportLine } from './report-line.js'
import type { PeriodReport } from './period-report.js'
import type { ReportedCaller } from './reported-caller.js'

const NO_TEAM = '(no team)'

/** Builds the figures of one period from the accounts of its days, which may come in any order. */
export function buildPeriodReport (days: readonly ReportDay[], callers: Readonly<Record<string, ReportedCaller>>): PeriodReport {
  const ordered = [...days].sort((a, b) => a.day < b.day ? -1 : 1)
  const rows = mergeRows(ordered.map(day => day.rows))
  const times = ordered.reduce<AccountTimes>((sum, day) => addTimes(sum, day.times), {})
  return {
    since: ordered[0]?.day ?? '',
    until: ordered.at(-1)?.day ?? '',
    total: mergeLines(rows, () => 'total')[0] ?? createEmptyLine('total'),
    callers: mergeLines(rows, caller => caller),
    teams: mergeLines(rows, caller => callers[caller]?.team ?? NO_TEAM),
    services: mergeLines(rows, (_, service) => service),
    days: ordered.map(({ day, rows }) => mergeLines(rows, () => day)[0] ?? createEmptyLine(day)),
    times: readServiceTimes(times),
    bound: {
      asked: ordered.reduce((sum, { mayMiss }) => sum + mayMiss.asked, 0),
      runs: listUnique(ordered.flatMap(({ mayMiss }) => mayMiss.runs)),
      silent: listUnique(ordered.flatMap(({ silent }) => silent)),
      partial: ordered.filter(({ whole }) => !whole).map(({ day }) => day)
    }
  }
}

function createEmptyLine (name: string): ReportLine {
  return { name, online: noCounts, batch: noCounts }
}

function listUnique (names: readonly string[]): readonly string[] {
  return [...new Set(names)].sort()
}
