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
  private readonly silent = new Set<string>()

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
    return findOnce(this.counts, pool, () => slotGroups.count(this.list.all.filter(instance => instance.pool === pool).length))
  }

  findGroup (pool: string, server: string): number {
    return findOnce(this.groups, server, () => slotGroups.find(server, this.countGroups(pool)))
  }

  /** The daemon that gives the slots of a group; undefined while this one knows no daemon for sure, or none that answers. */
  findBroker (pool: string, group: number): string | undefined {
    return findOnce(this.brokers, `${pool} ${group}`, () => slotGroups.findBroker(pool, group, this.members.owners().filter(name => !this.silent.has(name))))
  }

  /** Goes by the next in rank for the groups of a broker that doesn't answer, or by that broker again. */
  setSilent (broker: string, isSilent: boolean): void {
    if (isSilent) this.silent.add(broker)
    else this.silent.delete(broker)
    this.brokers.clear()
  }

  /** Whether a broker is passed over. */
  isSilent (broker: string): boolean {
    return this.silent.has(broker)
  }

  /** Whether the daemon may be a broker, by what membership knows. */
  isOwner (daemon: string): boolean {
    return this.members.owners().includes(daemon)
  }

  /** The broker of a server's group; undefined where the server isn't known any more. */
  findBrokerOf (server: string): string | undefined {
    const pool = this.list.find(server)?.pool
    return pool === undefined ? undefined : this.findBroker(pool, this.findGroup(pool, server))
  }
}

function findOnce<T> (known: Map<string, T>, key: string, find: () => T): T {
  if (!known.has(key)) known.set(key, find())
  return known.get(key) as T
}

partRegistry.register({ name: 'slot map', part: SlotMap, needs: ['members', 'instance list'] })
