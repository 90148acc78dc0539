import type { LostRun } from './lost-run.js'
import type { PartTotals } from './part-totals.js'
import type { RunInFlight } from './run-in-flight.js'

/** The requests of this daemon that are in flight at servers, and the time for which they are. Times in monotonic ms. */
export class RunsInFlight {
  private readonly runs = new Set<RunInFlight>()

  constructor (private readonly times: Pick<PartTotals, 'record'>) {}

  add (run: Pick<RunInFlight, 'parts' | 'server' | 'began' | 'isSent'>): RunInFlight {
    const added = { ...run, hasPassed: false, recordedUntil: run.began }
    this.runs.add(added)
    return added
  }

  /** Removes a run that has ended; returns whether it was in flight. */
  remove (run: RunInFlight, now: number): boolean {
    this.recordTime(run, now)
    return this.runs.delete(run)
  }

  /** Records the time of all runs up to now. */
  recordTimes (now: number): void {
    for (const run of this.runs) this.recordTime(run, now)
  }

  /** Lists the runs that were lost with a server at a time. */
  listLost (server: string, at: number): readonly LostRun[] {
    return [...this.runs].filter(run => run.server === server && run.began <= at && run.isSent()).map(({ parts, began }) => ({ parts, began }))
  }

  private recordTime (run: RunInFlight, now: number): void {
    if (now > run.recordedUntil) this.times.record(run.parts, now - run.recordedUntil, now)
    run.recordedUntil = now
  }
}
