import { showUndercount } from './show-undercount.js'
import type { PeriodReport } from './period-report.js'

/** Lists the sources and limits of the figures, one sentence each. */
export function listNotes ({ bound, total }: PeriodReport): readonly string[] {
  const { asked, runs, silent, partial } = bound
  const unsettled = total.online.asked - total.online.answered - [total.online.refused, total.online.failed].flatMap(tally => Object.values(tally)).reduce((sum, count) => sum + count, 0)
  return [
    `online figures are counted by the daemons as requests arrive and are answered; ${showUndercount({ asked, runs })}`,
    ...runs.length === 0 ? [] : [`daemon runs with possibly missing requests: ${runs.join(', ')}`],
    ...silent.map(name => `${name} did not answer, so its counts since its last write may be missing`),
    ...partial.map(day => `${day}: the platform could not be read; the figures cover one daemon only, since its start`),
    `${unsettled} online requests have no outcome in the period: still running, answered after it, or lost with a daemon; requests from before the period that ended in it reduce this number`,
    'days are UTC; a request is counted on the day it arrived, its outcome on the day of the outcome; the boundary is within a second of midnight, later if the daemon was paused',
    'batch items are counted when accepted, and again when a daemon closes their chunk; if it is killed between closing and counting, the chunk or job is missing, and no bound above includes it',
    'a job is counted when it ends, under its first service; late means after its due time; cancelled items are not counted as failed',
    'first token is the time from a request to the first bytes of its streamed answer, whole answer the time to its end; both are at most 7 % too high',
    'busy figures are server time in minutes in which requests waited at the daemon; entitled is the max-min fair allocation by shares, computed for each daemon separately',
    'batch items run on capacity that online requests leave idle, so batch tokens measure the use of idle capacity',
    'teams and shares are those of the configuration in force when the report was created'
  ]
}
