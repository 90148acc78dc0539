import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import { partRegistry } from '../../kernel/part-registry.js'
import { tokens } from '../../kernel/tokens.js'
import { FleetBroadcast } from '../../peers/fleet-broadcast.js'
import { peerHandlerPoint } from '../../peers/peer-handler-point.js'
import type { PeerMessage } from '../../peers/peer-message.js'
import type { KnownJob } from './known-job.js'
import { readRegistryEntry } from './read-registry-entry.js'
import { RegistryEntries } from './registry-entries.js'
import type { RegistryEntry } from './registry-entry.js'

const MESSAGE = 'job'
const SEEN_MESSAGE = 'job seen'
const GONE_MESSAGE = 'job gone'

/**
 * The jobs of all daemons. The owner of a job publishes it on acceptance and as it progresses. A publication may be lost or arrive late:
 * entries are merged by version, and `JobRegistrySync` exchanges entries that differ between daemons.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobRegistry {
  readonly extensions = [MESSAGE, SEEN_MESSAGE, GONE_MESSAGE].map(type => peerHandlerPoint.of({ type, handle: message => this.receive(message) }))
  readonly entries = new RegistryEntries()
  private readonly listeners = new Set<(job: RegistryEntry) => void>()

  constructor (
    @inject(FleetBroadcast) private readonly fleet: FleetBroadcast,
    @inject(tokens.clock) private readonly clock: Clock
  ) {}

  get (id: string): KnownJob | undefined {
    const entry = this.entries.get(id)
    return entry?.removedAt === undefined ? entry : undefined
  }

  list (): readonly KnownJob[] {
    return this.entries.list().filter(({ removedAt }) => removedAt === undefined)
  }

  /** Calls `listener` with each job received from another daemon. */
  subscribe (listener: (job: RegistryEntry) => void): void {
    this.listeners.add(listener)
  }

  /** Replaces the entry of the job here and publishes it to the other daemons. */
  publish (job: KnownJob): void {
    this.entries.merge({ ...job, version: (this.entries.get(job.id)?.version ?? 0) + 1 })
    this.broadcast(MESSAGE, job.id)
  }

  /** Publishes the entry of a job that this daemon doesn't own, unchanged. */
  publishSeen (id: string): void {
    this.broadcast(SEEN_MESSAGE, id)
  }

  /** Adds a job unless there is an entry for it, which may be more recent. */
  addIfAbsent (job: KnownJob): void {
    this.entries.merge({ ...job, version: 0 })
  }

  /** Removes a job that is no longer stored, here and at the other daemons. */
  forget (id: string): void {
    const known = this.entries.get(id)
    if (known === undefined || known.removedAt !== undefined) return
    this.entries.merge({ ...known, closed: true, removedAt: this.clock.date() })
    this.broadcast(GONE_MESSAGE, id)
  }

  /** Counts the tokens of the unfinished items of all open jobs for which `isOn` returns true. */
  countWaitingTokens (isOn: (job: KnownJob) => boolean): number {
    return this.list().reduce((sum, job) => sum + (!job.closed && isOn(job) ? job.tokensLeft : 0), 0)
  }

  /** Merges an entry from another daemon, and calls the listeners if that changed it. */
  merge (entry: RegistryEntry): void {
    if (this.entries.merge(entry)) this.notify(entry)
  }

  private broadcast (type: string, id: string): void {
    const job = this.entries.get(id)
    if (job !== undefined) this.fleet.broadcast({ type, id, job }, `${type} ${id}`)
  }

  /** Always calls the listeners, so that an owner of the job can publish itself in response. */
  private receive ({ job }: PeerMessage): void {
    const entry = readRegistryEntry(job)
    if (entry === undefined) return
    this.entries.merge(entry)
    this.notify(entry)
  }

  /** Reports a closed job as closed: the sender may own it without having received that it was closed. */
  private notify (entry: RegistryEntry): void {
    const { closed, removedAt } = this.entries.get(entry.id)!
    for (const listener of this.listeners) listener({ ...entry, closed, removedAt })
  }
}

partRegistry.register({ name: 'job book', part: JobRegistry, needs: ['fleet cast'] })
