import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { Members } from '../peers/members.js'
import { InstanceList } from '../store/instance-list.js'
import { slotGroups } from './slot-groups.js'

/** The groups and brokers as this daemon sees them, worked out once for each change of the daemons or the servers: each takes a hash for each daemon. */
@scoped(Lifecycle.ContainerScoped)
export class SlotMap implements Part {
  private readonly counts = new Map<string, number>()
  private readonly groups = new Map<string, number>()
  private readonly brokers = new Map<string, string | undefined>()
  /** Brokers that didn't answer. */
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
      this.brokers.clear()
    })
  }

  /** Groups of a pool. */
  countGroups (pool: string): number {
    return findCached(this.counts, pool, () => slotGroups.count(this.list.all.filter(instance => instance.pool === pool).length))
  }

  findGroup (pool: string, server: string): number {
    return findCached(this.groups, server, () => slotGroups.find(server, this.countGroups(pool)))
  }

  /** The daemon that gives the slots of a group; undefined while this one knows no daemon for sure, or none that answers. */
  findBroker (pool: string, group: number): string | undefined {
    return findCached(this.brokers, `${pool} ${group}`, () => slotGroups.findBroker(pool, group, this.members.owners().filter(name => !this.unresponsive.has(name))))
  }

  /** Goes by the next in rank for the groups of a broker that doesn't answer, or by that broker again. */
  setUnresponsive (broker: string, isUnresponsive: boolean): void {
    if (isUnresponsive) this.unresponsive.add(broker)
    else this.unresponsive.delete(broker)
    this.brokers.clear()
  }

  /** Whether a broker is passed over. */
  isUnresponsive (broker: string): boolean {
    return this.unresponsive.has(broker)
  }

  /** Whether the daemon may be a broker, by what membership knows. */
  isEligible (daemon: string): boolean {
    return this.members.owners().includes(daemon)
  }

  /** The broker of a server's group; undefined where the server isn't known any more. */
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
