import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { listUpTo } from '../store/list-up-to.js'
import type { ObjectStore } from '../store/object-store.js'
import type { KeyedClaim } from './keyed-claim.js'

const KIND = 'keyed-day'
const DAY = 86_400_000 // ms
const FLUSH_PERIOD = 60_000 // ms
const FLUSH_AT = 1_000 // names
const SWEEP_PERIOD = 600_000 // ms
/** Pause between two removals, ms: limits them to 5 background writes a second. */
const REMOVE_PAUSE = 200
/** Maximum number of lists of names in one read, each up to about 65 KB. */
const LIST_LIMIT = 20

interface DayNames { readonly names: readonly string[] }

/**
 * Indexes claimed keys by day, so that expired ones can be removed without listing all: objects `keyed-day/DAY/DAEMON-RUN-N`, up to one a minute
 * from each daemon. The names of the last minute before a crash are missing from the index; those claims stay until their key is used again.
 */
@scoped(Lifecycle.ContainerScoped)
export class KeyedIndex implements Part {
  private names: string[] = []
  private flushes = 0
  private removing = false
  private readonly cancels: (() => void)[] = []

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(Members) private readonly members: Members
  ) {}

  async start (): Promise<void> {
    this.cancels.push(
      this.clock.every(FLUSH_PERIOD, () => { void this.writeNames() }),
      this.clock.every(SWEEP_PERIOD, () => { void this.removeOld() })
    )
  }

  async stop (): Promise<void> {
    for (const cancel of this.cancels) cancel()
    await this.writeNames()
  }

  /** Adds the name of a claim, written with the next flush. */
  add (name: string): void {
    this.names.push(name)
    if (this.names.length === FLUSH_AT) void this.writeNames()
  }

  async writeNames (): Promise<void> {
    const { names } = this
    if (names.length === 0) return
    this.names = []
    const object = `${this.formatDay(0)}/${this.settings.instance}-${this.members.run}-${this.flushes++}`
    const written = await this.store.put<DayNames>(KIND, object, { names }, 0, 'background')
    if (written.err) this.names = [...names, ...this.names].slice(-FLUSH_AT)
  }

  /** Removes the claims of expired days, oldest first, if this daemon ranks first for it. */
  async removeOld (): Promise<void> {
    if (this.removing || rankOwners(KIND, this.members.owners())[0] !== this.settings.instance) return
    this.removing = true
    const listed = await listUpTo<DayNames>(this.store, KIND, { prefix: '', limit: LIST_LIMIT })
    const oldestKept = this.formatDay(1)
    for (const { name, version, value } of listed.unwrapOr([])) {
      if (name >= oldestKept) break
      for (const key of value.names) await this.removeKey(key)
      await this.store.delete(KIND, name, version, 'background')
    }
    this.removing = false
  }

  /** Removes a claim unless its key has been used again since, which makes it a newer claim. */
  private async removeKey (name: string): Promise<void> {
    const read = await this.store.get<KeyedClaim>('keyed', name, 'background')
    if (read.err || this.clock.date() - read.val.value.at < DAY) return
    await this.store.delete('keyed', name, read.val.version, 'background')
    await pauseFor(this.clock, REMOVE_PAUSE)
  }

  /** Returns the UTC date `back` days ago, as YYYY-MM-DD. */
  private formatDay (back: number): string {
    return new Date(this.clock.date() - back * DAY).toISOString().slice(0, 10)
  }
}

partRegistry.register({ name: 'keyed index', part: KeyedIndex, needs: ['members'] })
