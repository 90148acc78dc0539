import { rankOwners } from '../coordination/rank-owners.js'

/** A server and a daemon as far as ownership needs them. */
interface RegionMember { readonly name: string, readonly region: string }

interface Region { readonly daemons: ReadonlySet<string>, readonly owners: ReadonlyMap<string, string> }

const EMPTY: Region = { daemons: new Set(), owners: new Map() }

/**
 * Who should own each server: the first in rendezvous order among the daemons of its region.
 *
 * A ranking hashes once a daemon, and ranking 600 servers among 380 daemons anew at each change held the loop, and
 * with it every stream, for half a second. The first among some is the first among those that left and the first of
 * those that stayed: so only servers whose owner has gone are ranked anew, and the others compare their owner with
 * the daemons that have come.
 */
export class OwnerTable {
  private regions = new Map<string, Region>()

  update (servers: readonly RegionMember[], daemons: readonly RegionMember[]): void {
    const next = new Map<string, Region>()
    for (const name of new Set(servers.map(({ region }) => region))) {
      const names = daemons.filter(({ region }) => region === name).map(daemon => daemon.name)
      const inRegion = servers.filter(({ region }) => region === name).map(server => server.name)
      next.set(name, updateRegion(this.regions.get(name) ?? EMPTY, inRegion, names))
    }
    this.regions = next
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

function updateRegion (before: Region, servers: readonly string[], names: readonly string[]): Region {
  const daemons = new Set(names)
  const added = names.filter(name => !before.daemons.has(name))
  const owners = new Map<string, string>()
  for (const server of servers) {
    const known = before.owners.get(server)
    const stays = known !== undefined && daemons.has(known)
    const owner = stays ? chooseFirst(server, known, added) : rankOwners(server, names)[0]
    if (owner !== undefined) owners.set(server, owner)
  }
  return { daemons, owners }
}

function chooseFirst (server: string, known: string, added: readonly string[]): string {
  return added.length === 0 ? known : rankOwners(server, [known, ...added])[0]!
}
