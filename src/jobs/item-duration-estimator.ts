import { Lifecycle, scoped } from 'tsyringe'
import type { ItemState } from './item-state.js'

/** Weight of the newest observation in the moving averages. */
const WEIGHT = 0.1
/** Initial estimates: events per token of an item's limit, and ms between two events. */
const INITIAL_EVENTS_PER_TOKEN = 0.2
const INITIAL_EVENT_GAP = 20

/** Estimates how long items run from moving averages over past runs. */
@scoped(Lifecycle.ContainerScoped)
export class ItemDurationEstimator {
  private eventsPerToken = INITIAL_EVENTS_PER_TOKEN
  private eventGap = INITIAL_EVENT_GAP

  /** Records the number of events of a completed item. */
  recordEnd ({ item, last }: Pick<ItemState, 'item' | 'last'>): void {
    if (last === undefined || item.tokens === 0) return
    this.eventsPerToken += WEIGHT * (last / item.tokens - this.eventsPerToken)
  }

  /** Records a run that produced `events` in `time` ms. */
  recordRun (events: number, time: number): void {
    if (events > 0) this.eventGap += WEIGHT * (time / events - this.eventGap)
  }

  /** Estimates the remaining run time of an item, ms. An item past its expected length is assumed to be at its last event. */
  estimateRemaining ({ item, last }: Pick<ItemState, 'item' | 'last'>): number {
    return Math.max(1, item.tokens * this.eventsPerToken - (last ?? 0)) * this.eventGap
  }
}
