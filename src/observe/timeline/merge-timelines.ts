import type { TimelineEvent } from './timeline-event.js'

/**
 * Merges the events of several daemons in causal order. They are sorted by hybrid logical time, so that an event never
 * precedes its cause; events with the same time are sorted by instance.
 *
 * @example
 * mergeTimelines([eventsOfEntry0, eventsOfEntry1])
 */
export function mergeTimelines (timelines: readonly (readonly TimelineEvent[])[]): readonly TimelineEvent[] {
  return timelines.flat().sort((a, b) => a.time - b.time || (a.instance < b.instance ? -1 : a.instance > b.instance ? 1 : 0))
}
