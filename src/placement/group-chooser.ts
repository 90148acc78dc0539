import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { ServerLoads } from './server-loads.js'
import type { SlotMap } from './slot-map.js'

/** How long free slots are considered after the last response of any broker of the pool, ms. */
const FREE_TTL = 2_000

interface GroupChooserOptions {
  readonly clock: Clock
  readonly random: Random
  readonly loads: Pick<ServerLoads, 'listOfVersion'>
  readonly map: Pick<SlotMap, 'findGroup' | 'countGroups'>
}

/** Chooses the server group of a request by the free slots that the groups' brokers last reported. */
export class GroupChooser {
  /** Free slots in the broker's last response, by pool and group. */
  private readonly free = new Map<string, number>()
  /** Time of the last record, by pool. */
  private readonly recordedAt = new Map<string, number>()
  /** Bids so far that went to the groups in turn, by pool. */
  private readonly turns = new Map<string, number>()

  constructor (private readonly options: GroupChooserOptions) {}

  /** Records the free slots of a group. */
  record (pool: string, group: number, free: number): void {
    this.recordedAt.set(pool, this.options.clock.now())
    this.free.set(`${pool} ${group}`, free)
  }

  /** Returns the group with more free slots of two chosen at random, among those with a server of the version, if one is given. A group without a response yet counts as free. */
  choose (pool: string, version?: string): number {
    const { random, loads, map } = this.options
    const groups = version === undefined ? [] : [...new Set(loads.listOfVersion(pool, version).map(server => map.findGroup(pool, server)))]
    const draw = (): number => groups.length > 0 ? groups[random.below(groups.length)]! : random.below(map.countGroups(pool))
    const getFree = (group: number): number => this.free.get(`${pool} ${group}`) ?? Infinity
    const [first, second] = [draw(), draw()]
    return getFree(second) > getFree(first) ? second : first
  }

  /**
   * Returns the group of a bid for batch slots. Only online requests update the free slots; with jobs alone a group that was full at
   * their end would hardly be chosen again, so bids then go to the groups in turn.
   */
  chooseForBatch (pool: string): number {
    const { clock, map } = this.options
    if (clock.now() < (this.recordedAt.get(pool) ?? -Infinity) + FREE_TTL) return this.choose(pool)
    const turn = this.turns.get(pool) ?? 0
    this.turns.set(pool, turn + 1)
    return turn % map.countGroups(pool)
  }
}
