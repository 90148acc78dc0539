import { rankOwners } from '../coordination/rank-owners.js'

/** Servers in one group; bounds a broker's load to some 100 slots and a few hundred grants a second. */
const GROUP_SIZE = 16

/** Partitions the servers of a pool into groups and assigns each a broker. Daemons with the same lists get the same result. */
export const slotGroups = {
  /** Returns the number of groups of a pool with `servers` servers. */
  count: (servers: number): number => Math.max(1, Math.ceil(servers / GROUP_SIZE)),

  /** Returns the group of a server, from 0. Few servers change groups when the number of groups changes. */
  find: (server: string, groups: number): number => {
    const names = Array.from({ length: groups }, (_, group) => String(group))
    return Number(rankOwners(server, names)[0])
  },

  /** Returns the broker of a group, or undefined if there are no daemons. */
  findBroker: (pool: string, group: number, daemons: readonly string[]): string | undefined => rankOwners(`slots ${pool} ${group}`, daemons)[0]
}
