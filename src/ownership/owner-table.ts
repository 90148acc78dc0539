import { rankOwners } from '../coordination/rank-owners.js'

/** The fields of a server or daemon on which ownership depends. */
interface RegionMember { readonly name: string, readonly region: string }

interface Region { readonly daemons: ReadonlySet<string>, readonly owners: ReadonlyMap<string, string> }

const EMPTY: Region = { daemons: new Set(), owners: new Map() }

/**
 * Assigns each server to the first daemon of its region in rendezvous order.
 *
 * Updates are incremental, since ranking all servers among all daemons at every change would block the event loop: for
 * half a second with 600 servers and 380 daemons, and every stream with it. The
 * first of all daemons is the first among the previous owner, if it is still there, and the added daemons. So only
 * servers whose owner has gone are ranked anew; for the others, the owner is compared with the added daemons.
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

  /** Returns the daemon that should own the server, undefined if its region has none. */
  find (server: string): string | undefined {
    for (const { owners } of this.regions.values()) {
      const owner = owners.get(server)
      if (owner !== undefined) return owner
    }
    return undefined
  }

  /** Returns the servers that `daemon` should own. */
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
