import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { Members } from '../peers/members.js'
import { InstanceList } from '../store/instance-list.js'
import { slotGroups } from './slot-groups.js'

/** Caches groups and brokers as this daemon sees them until daemons or servers change; each lookup would hash every candidate. */
@scoped(Lifecycle.ContainerScoped)
export class SlotMap implements Part {
  private readonly counts = new Map<string, number>()
  private readonly groups = new Map<string, number>()
  private readonly servers = new Map<string, readonly string[]>()
  private readonly brokers = new Map<string, string | undefined>()
  /** Brokers that didn't respond in time. */
  private readonly unresponsive = new Set<string>()

  constructor (
    @inject(Members) private readonly members: Members,
    @inject(InstanceList) private readonly list: InstanceList
  ) {}

  async start (): Promise<void> {
    this.members.subscribe(() => this.brokers.clear())
    this.list.subscribe(() => {
      this.counts.clear()
      this.groups.clear()
      this.servers.clear()
      this.brokers.clear()
    })
  }

  /** Returns the number of groups of a pool. */
  countGroups (pool: string): number {
    return findCached(this.counts, pool, () => slotGroups.count(this.list.all.filter(instance => instance.pool === pool).length))
  }

  findGroup (pool: string, server: string): number {
    return findCached(this.groups, server, () => slotGroups.find(server, this.countGroups(pool)))
  }

  /** Lists the servers of a group. */
  listServers (pool: string, group: number): readonly string[] {
    return findCached(this.servers, `${pool} ${group}`, () => this.list.all.filter(instance => instance.pool === pool).map(({ name }) => name).filter(name => this.findGroup(pool, name) === group))
  }

  /**
   * Returns the broker of a group: a daemon with much processor time, since a broker handles several messages for each request of its
   * group and all others wait for it. Undefined while membership is uncertain or every daemon is unresponsive.
   */
  findBroker (pool: string, group: number): string | undefined {
    return findCached(this.brokers, `${pool} ${group}`, () => {
      const [large, all] = [this.members.largeOwners(), this.members.owners()].map(daemons => daemons.filter(name => !this.unresponsive.has(name)))
      return slotGroups.findBroker(pool, group, large!.length > 0 ? large! : all!)
    })
  }

  /** Marks a broker as unresponsive, so that the next in rank replaces it for its groups, or clears the mark. */
  setUnresponsive (broker: string, isUnresponsive: boolean): void {
    if (isUnresponsive) this.unresponsive.add(broker)
    else this.unresponsive.delete(broker)
    this.brokers.clear()
  }

  /** Returns whether a broker is bypassed as unresponsive. */
  isUnresponsive (broker: string): boolean {
    return this.unresponsive.has(broker)
  }

  /** Returns whether membership allows the daemon to be a broker. */
  isEligible (daemon: string): boolean {
    return this.members.largeOwners().includes(daemon)
  }

  /** Returns the broker of a server's group, or undefined if the server is no longer registered or the group has no broker. */
  findBrokerForServer (server: string): string | undefined {
    const pool = this.list.find(server)?.pool
    return pool === undefined ? undefined : this.findBroker(pool, this.findGroup(pool, server))
  }
}

function findCached<T> (cache: Map<string, T>, key: string, find: () => T): T {
  if (!cache.has(key)) cache.set(key, find())
  return cache.get(key) as T
}

partRegistry.register({ name: 'slot map', part: SlotMap, needs: ['members', 'instance list'] })
