import { showUndercount } from './show-undercount.js'
import type { PeriodReport } from './period-report.js'

/** What each figure is drawn from, and what it may lack: one sentence a line. */
export function listNotes ({ bound, total }: PeriodReport): readonly string[] {
  const { asked, runs, silent, partial } = bound
  const unsettled = total.online.asked - total.online.answered - [total.online.refused, total.online.failed].flatMap(tally => Object.values(tally)).reduce((sum, count) => sum + count, 0)
  return [
    `online figures are counted by the daemons as callers ask and are answered; the period ${showUndercount({ asked, runs })}`,
    ...runs.length === 0 ? [] : [`runs that may lack some: ${runs.join(', ')}`],
    ...silent.map(name => `${name} did not answer when it was asked for what it has not written yet`),
    ...partial.map(day => `${day}: the platform could not be read; the figures are of one daemon since its start`),
    `${unsettled} online requests have no outcome here: under way, begun before the period or answered after it, or lost with a daemon`,
    'days are UTC; a request stands on the day on which it was asked for, its outcome on the day of the outcome; a day ends within a second of midnight, later where the daemon stood still',
    'batch items are counted as they are accepted and as their chunk is closed by the daemon that closed it; a daemon killed in the moment between leaves its chunk or job out, which no bound counts',
    'a job is counted when it ends, under its first service; late is after its due time; cancelled items of a job are not counted as failed',
    'first token is the time from a request to the first bytes of its streamed answer, whole answer to its end; both at most 7 % too high',
    'busy figures are server time in minutes in which requests waited at the daemon; entitled is what the shares give there, max-min fair, at each daemon by itself',
    'batch runs on capacity that online requests leave idle, so batch tokens are the idle capacity lent',
    'teams and shares are those of the configuration in force when the report is made'
  ]
}
