import type { ItemProgress } from './item-progress.js'
import type { ItemState } from './item-state.js'

/** Counts the events of unfinished items that the last checkpoint of their progress doesn't hold. */
export function countUnsavedEvents (items: ReadonlyArray<Pick<ItemState, 'item' | 'last' | 'phase'>>, saved: readonly ItemProgress[]): number {
  const lastSaved = new Map(saved.map(({ id, last }) => [id, last]))
  return items.reduce((sum, { item, last, phase }) => sum + (phase === 'ended' ? 0 : Math.max(0, (last ?? 0) - (lastSaved.get(item.id) ?? 0))), 0)
}
