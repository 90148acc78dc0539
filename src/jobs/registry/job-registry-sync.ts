import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Random } from '../../kernel/random.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { isSmallFleet } from '../../peers/is-small-fleet.js'
import { listOthers } from '../../peers/list-others.js'
import { Members } from '../../peers/members.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import { PeerLinks } from '../../peers/peer-links.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import { countJsonBytes } from '../count-json-bytes.js'
import { splitBySize } from '../split-by-size.js'
import { JobRegistry } from './job-registry.js'
import { readRegistryEntry } from './read-registry-entry.js'
import type { RegistryEntry } from './registry-entry.js'

const DIGEST_MESSAGE = 'job digest'
const KEYS_MESSAGE = 'job keys'
const ENTRIES_MESSAGE = 'job entries'
/** Time between two comparisons, ms. In a large fleet most of them open a link. */
const PERIOD = 500
const LARGE_FLEET_PERIOD = 2_000
/** Maximum number of entries in one message, and of their bytes; the next comparison shows the rest. A longer message ends the link. */
const MAX_ENTRIES = 200
const MAX_BYTES = 400_000

/**
 * Compares this daemon's job registry with that of a random other daemon periodically, and exchanges the entries that differ. Registries
 * converge whichever publications were lost, also at a daemon that has just started.
 *
 * A comparison sends the digests of all buckets; the receiver answers with the keys of its entries in the buckets that differ; the sender
 * then sends its own entries that the receiver doesn't have, and requests those that it doesn't have itself.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobRegistrySync implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: DIGEST_MESSAGE, handle: (message, from) => this.receiveDigests(message, from) }),
    peerHandlerPoint.of({ type: KEYS_MESSAGE, handle: (message, from) => this.receiveKeys(message, from) }),
    peerHandlerPoint.of({ type: ENTRIES_MESSAGE, handle: (message, from) => this.receiveEntries(message, from) })
  ]

  private nextAt = -Infinity
  private cancel = (): void => {}

  constructor (
    @inject(JobRegistry) private readonly registry: JobRegistry,
    @inject(Members) private readonly members: Pick<Members, 'all'>,
    @inject(PeerLinks) private readonly links: Pick<PeerLinks, 'send'>,
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  async start (): Promise<void> {
    this.cancel = this.clock.every(PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
  }

  private check (): void {
    this.registry.entries.dropExpired(this.clock.date())
    const members = this.members.all()
    const others = listOthers(members, this.settings.instance)
    if (others.length === 0 || this.clock.now() < this.nextAt) return
    this.nextAt = isSmallFleet(members) ? -Infinity : this.clock.now() + this.random.spread(LARGE_FLEET_PERIOD)
    this.links.send(others[this.random.below(others.length)]!, { type: DIGEST_MESSAGE, digests: this.registry.entries.listDigests() }, DIGEST_MESSAGE)
  }

  private receiveDigests ({ digests }: PeerMessage, from: string): void {
    if (!Array.isArray(digests)) return
    const { entries } = this.registry
    const buckets = entries.listDifferences(digests)
    if (buckets.length > 0) this.links.send(from, { type: KEYS_MESSAGE, buckets, keys: entries.listKeys(buckets) })
  }

  private receiveKeys ({ buckets, keys }: PeerMessage, from: string): void {
    if (!Array.isArray(buckets) || !Array.isArray(keys)) return
    const { entries } = this.registry
    const own = new Set(entries.listKeys(buckets))
    const wanted = keys.filter(key => !own.has(key)).slice(0, MAX_ENTRIES)
    this.sendEntries(from, entries.listOthers(buckets, new Set(keys)), wanted)
  }

  /** Answers with the merged entries of the jobs whose keys the sender wants. */
  private receiveEntries ({ jobs, wanted }: PeerMessage, from: string): void {
    if (!Array.isArray(jobs) || !Array.isArray(wanted)) return
    const { entries } = this.registry
    const ids = entries.findIds(new Set(wanted))
    for (const job of jobs) {
      const entry = readRegistryEntry(job)
      if (entry !== undefined) this.registry.merge(entry)
    }
    this.sendEntries(from, ids.flatMap(id => entries.get(id) ?? []), [])
  }

  private sendEntries (to: string, jobs: readonly RegistryEntry[], wanted: readonly number[]): void {
    const [first = []] = splitBySize(jobs.slice(0, MAX_ENTRIES), countJsonBytes, MAX_BYTES)
    if (first.length + wanted.length > 0) this.links.send(to, { type: ENTRIES_MESSAGE, jobs: first, wanted })
  }
}

partRegistry.register({ name: 'job registry sync', part: JobRegistrySync, needs: ['job book', 'members', 'peer links'] })
