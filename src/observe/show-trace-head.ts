import type { Trace } from './trace.js'

const RELATED_SHOWN = 5

/** What the id names, and what its course touched. */
export function showTraceHead ({ type, id, related, instances, servers }: Trace): string {
  const shown = related.slice(0, RELATED_SHOWN).join(', ') + (related.length > RELATED_SHOWN ? ` and ${related.length - RELATED_SHOWN} more` : '')
  return [
    `${type} ${id}`,
    ...related.length === 0 ? [] : [`${type === 'item' ? 'of job' : 'with items'} ${shown}`],
    `at ${instances.join(', ')}`,
    ...servers.length === 0 ? [] : [`servers ${servers.join(', ')}`]
  ].join('; ')
}
