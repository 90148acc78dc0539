import { Err, Ok, type Result } from 'ts-results'
import { isDay } from '../admission/account/is-day.js'
import { formatDay } from '../admission/account/format-day.js'

const DAY = 86_400_000
const WEEK = 7
const MAX_DAYS = 92

interface Days { readonly since: string, readonly until: string }

/** Days that have begun, and as many days of the previous period: three days of this week are compared with three. */
interface Period extends Days { readonly before: Days }

interface PeriodOptions {
  /** ISO 8601 week, such as 2026-W48. */
  readonly week?: string
  readonly since?: string
  readonly until?: string
  /** Current wall-clock time, ms since 1970. */
  readonly date: number
}

/** Finds the days to report, in UTC: a week, a range of days, or the current week by default. Returns a message if the options are invalid. */
export function findPeriod (options: PeriodOptions): Result<Period, string> {
  return findDays(options).andThen(({ since, until }) => {
    const today = formatDay(options.date)
    if (since > today) return Err(`${since} is in the future`)
    const span = Date.parse(until) - Date.parse(since) + DAY
    const last = until > today ? today : until
    const shift = (day: string): string => formatDay(Date.parse(day) - span)
    return Ok({ since, until: last, before: { since: shift(since), until: shift(last) } })
  })
}

function findDays ({ week, since, until, date }: PeriodOptions): Result<Days, string> {
  if (week !== undefined) return since === undefined && until === undefined ? parseWeek(week) : Err('--week cannot be combined with --since or --until')
  for (const day of [since, until]) if (day !== undefined && !isDay(day)) return Err(`${day} is not a day of the form YYYY-MM-DD`)
  if (since === undefined && until === undefined) return Ok(findWeek(date))
  const period = { since: since ?? findWeek(Date.parse(until!)).since, until: until ?? formatDay(date) }
  const days = (Date.parse(period.until) - Date.parse(period.since)) / DAY + 1
  if (days < 1) return Err(`${period.until} is before ${period.since}`)
  return days > MAX_DAYS ? Err(`${days} days exceed the limit of ${MAX_DAYS}`) : Ok(period)
}

/** Finds the week of a date, Monday to Sunday. */
function findWeek (date: number): Days {
  const day = Date.parse(formatDay(date))
  const monday = day - (new Date(day).getUTCDay() + 6) % WEEK * DAY
  return { since: formatDay(monday), until: formatDay(monday + (WEEK - 1) * DAY) }
}

/** Parses an ISO 8601 week; week 1 contains 4 January. */
function parseWeek (text: string): Result<Days, string> {
  const [, year, week] = /^(\d{4})-W(\d\d)$/.exec(text) ?? []
  if (year === undefined) return Err(`${text} is not a week of the form 2026-W48`)
  const first = Date.parse(findWeek(Date.UTC(Number(year), 0, 4)).since)
  const period = findWeek(first + (Number(week) - 1) * WEEK * DAY)
  const thursday = Date.parse(period.since) + 3 * DAY
  if (Number(week) < 1 || new Date(thursday).getUTCFullYear() !== Number(year)) return Err(`${year} has no week ${week}`)
  return Ok(period)
}
