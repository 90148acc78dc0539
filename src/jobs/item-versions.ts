import type { Clock } from '../kernel/clock.js'
import type { ServerLoads } from '../placement/server-loads.js'
import type { Servers } from '../routing/servers/servers.js'
import type { ItemState } from './item-state.js'

/**
 * How long an item that has progress waits for a server of the version that began it, ms, since its last event: the listed ones may take
 * nothing. After that it begins anew at another, which costs the progress.
 */
const MAX_VERSION_WAIT = 10_000

interface ItemVersionsOptions {
  readonly loads: Pick<ServerLoads, 'listOfVersion'>
  readonly servers: Pick<Servers, 'find' | 'inPool'>
  readonly clock: Pick<Clock, 'now'>
}

/** Decides at which servers items with progress may run. They go on at the version of the software that began them, and begin anew at others. */
export class ItemVersions {
  constructor (private readonly options: ItemVersionsOptions) {}

  /** Returns until when the item waits for a server of its version, monotonic ms; undefined if it has no progress. */
  findBoundUntil (state: ItemState): number | undefined {
    if (state.last === undefined) return undefined
    state.progressAt ??= this.options.clock.now()
    return state.progressAt + MAX_VERSION_WAIT
  }

  /** Whether the item may run at the server: it begins anew there if no server has its version, or none took it in time. */
  mayRunAt (state: ItemState, pool: string, server: string): boolean {
    const { clock, loads } = this.options
    if (this.keepsProgress(state, server)) return true
    return clock.now() >= (this.findBoundUntil(state) ?? -Infinity) || loads.listOfVersion(pool, state.version ?? '').length === 0
  }

  /** Whether the item loses no progress at the server. */
  keepsProgress ({ last, version = '' }: ItemState, server: string): boolean {
    return last === undefined || this.options.servers.find(server)?.version === version
  }

  /** Lists the servers of the pool where none of the items may run. */
  listAvoided (pool: string, items: readonly { readonly state: ItemState }[]): readonly string[] {
    if (items.some(({ state }) => state.last === undefined)) return []
    return this.options.servers.inPool(pool).map(({ name }) => name).filter(name => !items.some(({ state }) => this.mayRunAt(state, pool, name)))
  }
}
