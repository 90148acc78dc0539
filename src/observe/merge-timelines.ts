import type { TimelineEvent } from './timeline-event.js'

/**
 * The events of several daemons in one causal order: by hybrid logical time, so that no event stands before one
 * that caused it; events of unrelated processes at the same time are ordered by instance.
 *
 * @example
 * mergeTimelines([eventsOfEntry0, eventsOfEntry1])
 */
export function mergeTimelines (timelines: readonly (readonly TimelineEvent[])[]): readonly TimelineEvent[] {
  return timelines.flat().sort((a, b) => a.time - b.time || (a.instance < b.instance ? -1 : a.instance > b.instance ? 1 : 0))
}
