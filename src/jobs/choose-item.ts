import type { ItemState } from './item-state.js'

interface Candidate<J> {
  readonly job: J
  readonly state: Pick<ItemState, 'losses'>
  /** The part of its prompt whose trial it would be. */
  readonly trial?: string | undefined
}

/**
 * Chooses the item that starts on a granted slot: the first in scheduling order. If that one would be the trial of a part, the trials go
 * round: to an item of the job with the fewest items running, there to one whose runs were lost the fewest times.
 *
 * @example
 * chooseItem([{ job: 'a', state: { losses: 2 }, trial: 'p' }, { job: 'a', state: { losses: 0 }, trial: 'p' }], () => 0) // the second
 */
export function chooseItem<J, T extends Candidate<J>> (items: readonly T[], countRunning: (job: J) => number): T | undefined {
  const first = items[0]
  if (first?.trial === undefined) return first
  const trials = items.filter(({ trial }) => trial === first.trial)
  const running = new Map(trials.map(({ job }) => [job, countRunning(job)]))
  return trials.reduce((best, item) => (running.get(item.job)! - running.get(best.job)! || item.state.losses - best.state.losses) < 0 ? item : best)
}
