import { Lifecycle, scoped } from 'tsyringe'
import type { ItemState } from './item-state.js'

/** Weight of the newest item. */
const WEIGHT = 0.1
/** Before any item has ended: events of an item for each token that it may take, and ms between two of its events. */
const INITIAL_EVENTS_PER_TOKEN = 0.2
const INITIAL_EVENT_GAP = 20

/** How long items run, by those that have. */
@scoped(Lifecycle.ContainerScoped)
export class ItemDurationEstimator {
  private eventsPerToken = INITIAL_EVENTS_PER_TOKEN
  private eventGap = INITIAL_EVENT_GAP

  /** Notes an item that has ended with so many events. */
  recordEnd ({ item, last }: Pick<ItemState, 'item' | 'last'>): void {
    if (last === undefined || item.tokens === 0) return
    this.eventsPerToken += WEIGHT * (last / item.tokens - this.eventsPerToken)
  }

  /** Notes a run that brought `events` in `time` ms. */
  recordRun (events: number, time: number): void {
    if (events > 0) this.eventGap += WEIGHT * (time / events - this.eventGap)
  }

  /** How much longer an item would run, ms; one that has run longer than most is about to end. */
  estimateRemaining ({ item, last }: Pick<ItemState, 'item' | 'last'>): number {
    return Math.max(1, item.tokens * this.eventsPerToken - (last ?? 0)) * this.eventGap
  }
}
