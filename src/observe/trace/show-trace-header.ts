import type { Trace } from './trace.js'

const MAX_RELATED = 5

/** Formats what the id names, with the instances and servers involved. */
export function showTraceHeader ({ type, id, related, instances, servers }: Trace): string {
  const shown = related.slice(0, MAX_RELATED).join(', ') + (related.length > MAX_RELATED ? ` and ${related.length - MAX_RELATED} more` : '')
  return [
    `${type} ${id}`,
    ...related.length === 0 ? [] : [`${type === 'item' ? 'of job' : 'with items'} ${shown}`],
    `at ${instances.join(', ')}`,
    ...servers.length === 0 ? [] : [`servers ${servers.join(', ')}`]
  ].join('; ')
}
