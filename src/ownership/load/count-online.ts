import type { OnlineCountsState } from './online-counts-state.js'

/** Returns the online requests in flight at a server, summed over all reporters. */
export function countOnline ({ servers }: OnlineCountsState, server: string): number {
  return [...servers.get(server)?.values() ?? []].reduce((sum, { count }) => sum + count, 0)
}
