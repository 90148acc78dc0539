import type { Clock } from '../../kernel/clock.js'
import type { PartRun } from './part-run.js'

/** Time for which an answer must go on until its parts count as passed, ms: a part crashes a server as it begins to answer. */
const SURVIVAL_TIME = 1_500

interface PartRunOptions {
  readonly clock: Pick<Clock, 'after'>
  /** Removes the run from those in flight; returns whether it was one. */
  readonly remove: () => boolean
  /** Records that the parts have passed. */
  readonly pass: () => void
  /** Ends the trial that the run is, if it is one. */
  readonly endTrial: () => void
  /** Whether its trial ends once the parts have passed, not with the run: items of a refused part follow one another. */
  readonly isShortTrial: boolean
}

/** Creates the handle by which the sender of a request tells how its run goes on. */
export function createPartRun ({ clock, remove, pass, endTrial, isShortTrial }: PartRunOptions): PartRun {
  let cancel = (): void => {}
  let isEnded = false
  let isTried = true
  const closeTrial = (): void => {
    if (isTried) endTrial()
    isTried = false
  }
  const survive = (): void => {
    pass()
    if (isShortTrial) closeTrial()
  }
  return {
    open: () => { if (!isEnded) cancel = clock.after(SURVIVAL_TIME, survive) },
    end: outcome => {
      cancel()
      isEnded = true
      if (!remove()) return
      if (outcome === 'passed') pass()
      closeTrial()
    }
  }
}
