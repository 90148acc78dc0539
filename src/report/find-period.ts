import { Err, Ok, type Result } from 'ts-results'
import { isDay } from '../admission/is-day.js'
import { formatDay } from '../admission/format-day.js'

const DAY = 86_400_000
const WEEK = 7
const MAX_DAYS = 92

interface Days { readonly since: string, readonly until: string }

/** Days that have begun, and the same ones of the period before: three days of a week stand beside three. */
interface Period extends Days { readonly before: Days }

interface PeriodOptions {
  /** As 2026-W48, ISO 8601. */
  readonly week?: string
  readonly since?: string
  readonly until?: string
  /** Wall-clock ms now. */
  readonly date: number
}

/** The days to report: a week, or from one day to another; the present week where nothing is named. All in UTC. */
export function findPeriod (options: PeriodOptions): Result<Period, string> {
  return findDays(options).andThen(({ since, until }) => {
    const today = formatDay(options.date)
    if (since > today) return Err(`${since} is still to come`)
    const span = Date.parse(until) - Date.parse(since) + DAY
    const last = until > today ? today : until
    const shift = (day: string): string => formatDay(Date.parse(day) - span)
    return Ok({ since, until: last, before: { since: shift(since), until: shift(last) } })
  })
}

function findDays ({ week, since, until, date }: PeriodOptions): Result<Days, string> {
  if (week !== undefined) return since === undefined && until === undefined ? parseWeek(week) : Err('--week goes without --since and --until')
  for (const day of [since, until]) if (day !== undefined && !isDay(day)) return Err(`${day} is not a day as YYYY-MM-DD`)
  if (since === undefined && until === undefined) return Ok(findWeek(date))
  const period = { since: since ?? findWeek(Date.parse(until!)).since, until: until ?? formatDay(date) }
  const days = (Date.parse(period.until) - Date.parse(period.since)) / DAY + 1
  if (days < 1) return Err(`${period.until} is before ${period.since}`)
  return days > MAX_DAYS ? Err(`${days} days are over the limit of ${MAX_DAYS}`) : Ok(period)
}

/** The week of a date, Monday to Sunday. */
function findWeek (date: number): Days {
  const day = Date.parse(formatDay(date))
  const monday = day - (new Date(day).getUTCDay() + 6) % WEEK * DAY
  return { since: formatDay(monday), until: formatDay(monday + (WEEK - 1) * DAY) }
}

/** Week 1 is the one with 4 January in it. */
function parseWeek (text: string): Result<Days, string> {
  const [, year, week] = /^(\d{4})-W(\d\d)$/.exec(text) ?? []
  if (year === undefined) return Err(`${text} is not a week as 2026-W48`)
  const first = Date.parse(findWeek(Date.UTC(Number(year), 0, 4)).since)
  const period = findWeek(first + (Number(week) - 1) * WEEK * DAY)
  const thursday = Date.parse(period.since) + 3 * DAY
  if (Number(week) < 1 || new Date(thursday).getUTCFullYear() !== Number(year)) return Err(`${year} has no week ${week}`)
  return Ok(period)
}
