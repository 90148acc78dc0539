import type { TraceEvent } from './trace-event.js'

interface Wait { readonly label: string, readonly time: number }

/** The longest times, ms, between two lines of a course at one instance, whose clock is the same; the longest first. */
export function listWaits (events: readonly TraceEvent[], { most = 12 }: { readonly most?: number } = {}): readonly Wait[] {
  const last = new Map<string, TraceEvent>()
  const waits: Wait[] = []
  for (const event of events) {
    if (event.kind !== 'own') continue
    const before = last.get(event.instance)
    if (before !== undefined) waits.push({ label: `${event.instance}: ${before.what}, then ${event.what}`, time: event.time - before.time })
    last.set(event.instance, event)
  }
  return waits.filter(({ time }) => time > 0).sort((a, b) => b.time - a.time).slice(0, most)
}
