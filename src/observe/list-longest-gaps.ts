import type { TraceEvent } from './trace/trace-event.js'

interface Gap { readonly label: string, readonly time: number }

/** Lists the longest gaps between consecutive lines of a trace at one instance, which share a clock. In ms, longest first. */
export function listLongestGaps (events: readonly TraceEvent[], { most = 12 }: { readonly most?: number } = {}): readonly Gap[] {
  const lastByInstance = new Map<string, TraceEvent>()
  const gaps: Gap[] = []
  for (const event of events) {
    if (event.kind !== 'own') continue
    const previous = lastByInstance.get(event.instance)
    if (previous !== undefined) gaps.push({ label: `${event.instance}: ${previous.what}, then ${event.what}`, time: event.time - previous.time })
    lastByInstance.set(event.instance, event)
  }
  return gaps.filter(({ time }) => time > 0).sort((a, b) => b.time - a.time).slice(0, most)
}
