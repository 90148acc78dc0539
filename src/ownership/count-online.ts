import type { OnlineCountsState } from './online-counts-state.js'

/** Online requests in flight at a server, over all daemons that told of theirs. */
export function countOnline ({ servers }: OnlineCountsState, server: string): number {
  return [...servers.get(server)?.values() ?? []].reduce((sum, { count }) => sum + count, 0)
}
