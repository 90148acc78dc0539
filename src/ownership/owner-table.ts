import { rankOwners } from '../coordination/rank-owners.js'

/** A server and a daemon as far as ownership needs them. */
interface Placed { readonly name: string, readonly region: string }

/**
 * Who should own each server: the first in rendezvous order among the daemons of its region. Rankings are kept and
 * worked out anew only for regions whose daemons have changed, because a ranking hashes once a daemon.
 */
export class OwnerTable {
  private readonly regions = new Map<string, { readonly key: string, readonly owners: Map<string, string | undefined> }>()

  update (servers: readonly Placed[], daemons: readonly Placed[]): void {
    for (const region of new Set(servers.map(server => server.region))) {
      const names = daemons.filter(daemon => daemon.region === region).map(({ name }) => name).sort()
      const key = names.join(' ')
      const known = this.regions.get(region)
      const before = known?.key === key ? known.owners : new Map<string, string | undefined>()
      const owners = servers.filter(server => server.region === region).map(({ name }) => {
        return [name, before.get(name) ?? rankOwners(name, names)[0]] as const
      })
      this.regions.set(region, { key, owners: new Map(owners) })
    }
  }

  find (server: string): string | undefined {
    for (const { owners } of this.regions.values()) {
      const owner = owners.get(server)
      if (owner !== undefined) return owner
    }
    return undefined
  }

  /** Servers that `daemon` should own. */
  list (daemon: string): readonly string[] {
    return [...this.regions.values()].flatMap(({ owners }) => [...owners].filter(([, owner]) => owner === daemon).map(([server]) => server))
  }
}
