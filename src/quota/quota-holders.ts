import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import { DaemonDirectory } from '../fleet/daemon-directory.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import { listLarge } from '../peers/list-large.js'
import { Members } from '../peers/members.js'

/** How long a larger number of candidates counts, ms: longer than any window of a quota. */
const COUNT_KEEP = 10_000
/** How long a daemon that is gone still counts as part of the fleet, ms: longer than most partitions. */
const MEMBER_KEEP = 60_000
/** Age up to which the view of the members is used again, ms. */
const VIEW_KEEP = 1_000

/**
 * Chooses the daemons that hold the buckets of a caller's quota, by rank among the daemons with much processor time. How many share a
 * quota follows from the number of registered ones, or the largest number of candidates seen lately: if fewer shared it while others
 * still hold buckets, they would grant too much together.
 */
@scoped(Lifecycle.ContainerScoped)
export class QuotaHolders implements Part {
  /** What depends on the members only, until they change: there may be hundreds, and each request asks. */
  private view: { readonly candidates: readonly string[], readonly hasMajority: boolean, readonly at: number } | undefined
  /** Number of registered daemons with much processor time, of which some may be gone or out of reach. */
  private registered = 0
  /** When each daemon was last known to be there, monotonic ms. */
  private readonly seenAt = new Map<string, number>()
  private counts: ReadonlyArray<{ readonly count: number, readonly at: number }> = []
  private readonly ranked = new Map<string, readonly string[]>()

  constructor (
    @inject(Members) private readonly members: Pick<Members, 'owners' | 'largeOwners' | 'subscribe'>,
    @inject(DaemonDirectory) private readonly directory: Pick<DaemonDirectory, 'all' | 'isRead' | 'subscribe'>,
    @inject(tokens.clock) private readonly clock: Pick<Clock, 'now'>
  ) {}

  async start (): Promise<void> {
    const reset = (): void => {
      this.view = undefined
      this.ranked.clear()
    }
    this.members.subscribe(reset)
    this.directory.subscribe(() => {
      this.registered = listLarge(this.directory.all.map(({ name, cores = 0 }) => ({ name, cores }))).length
      for (const { name } of this.directory.all) this.seenAt.set(name, this.clock.now())
      reset()
    })
  }

  /** Returns the number of daemons that a quota is divided between at most. */
  count (): number {
    const now = this.clock.now()
    this.counts = [...this.counts.filter(({ at }) => at > now - COUNT_KEEP), { count: Math.max(this.getView().candidates.length, this.registered), at: now }]
      .filter(({ count }, i, all) => all.slice(i + 1).every(later => later.count < count))
    return Math.max(1, ...this.counts.map(({ count }) => count))
  }

  /** Lists the daemons that hold the quota of a caller, at most `count`, as this daemon knows them. */
  list (caller: string, count: number): readonly string[] {
    const known = this.ranked.get(caller) ?? rankOwners(`quota ${caller}`, this.getView().candidates)
    this.ranked.set(caller, known)
    return known.slice(0, count)
  }

  /** Whether this daemon sees most of the fleet. If it doesn't, the others may go on granting what it has a part of. */
  hasMajority (): boolean {
    return this.getView().hasMajority
  }

  private getView (): NonNullable<QuotaHolders['view']> {
    const now = this.clock.now()
    if (this.view === undefined || now >= this.view.at + VIEW_KEEP) this.view = { candidates: this.members.largeOwners(), hasMajority: this.checkMajority(now), at: now }
    return this.view
  }

  /** Of two halves of the fleet the one with the first name counts as most of it. */
  private checkMajority (now: number): boolean {
    const present = this.members.owners()
    for (const name of present) this.seenAt.set(name, now)
    for (const [name, at] of this.seenAt) if (now > at + MEMBER_KEEP) this.seenAt.delete(name)
    const missing = this.seenAt.size - present.length
    const isMajority = present.length > missing || (present.length === missing && present.includes([...this.seenAt.keys()].sort()[0]!))
    return this.directory.isRead && isMajority
  }
}

partRegistry.register({ name: 'quota holders', part: QuotaHolders, needs: ['members', 'daemon directory'] })
