import { inject, Lifecycle, scoped } from 'tsyringe'
import { partRegistry } from '../kernel/part-registry.js'
import { FleetBroadcast } from '../peers/fleet-broadcast.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { KnownJob } from './known-job.js'

const MESSAGE = 'job'
const SEEN_MESSAGE = 'job seen'
const GONE_MESSAGE = 'job gone'

/** The jobs of all daemons as far as told. Whoever owns a job tells the others of it when it is accepted and as it goes on. */
@scoped(Lifecycle.ContainerScoped)
export class JobRegistry {
  readonly extensions = [
    peerHandlerPoint.of({ type: MESSAGE, handle: message => this.receive(message) }),
    peerHandlerPoint.of({ type: SEEN_MESSAGE, handle: message => this.receiveSeen(message) }),
    peerHandlerPoint.of({ type: GONE_MESSAGE, handle: ({ id }) => { this.jobs.delete(String(id)) } })
  ]

  private readonly jobs = new Map<string, KnownJob>()
  private readonly listeners = new Set<(job: KnownJob) => void>()

  constructor (@inject(FleetBroadcast) private readonly fleet: FleetBroadcast) {}

  get (id: string): KnownJob | undefined {
    return this.jobs.get(id)
  }

  list (): readonly KnownJob[] {
    return [...this.jobs.values()]
  }

  /** `listener` hears of each job that another daemon told of. */
  subscribe (listener: (job: KnownJob) => void): void {
    this.listeners.add(listener)
  }

  /** Takes what this daemon knows first and tells the others. */
  publish (job: KnownJob): void {
    this.jobs.set(job.id, job)
    this.fleet.broadcast({ type: MESSAGE, job }, `${MESSAGE} ${job.id}`)
  }

  /** Tells the others of a job that this daemon doesn't own, which they may not know of; what they know goes first. */
  publishSeen (job: KnownJob): void {
    this.fleet.broadcast({ type: SEEN_MESSAGE, job }, `${SEEN_MESSAGE} ${job.id}`)
  }

  /** Takes what the store says, unless more is known. */
  addIfAbsent (job: KnownJob): void {
    if (!this.jobs.has(job.id)) this.jobs.set(job.id, job)
  }

  /** Drops a job that is no longer stored, here and at the others. */
  forget (id: string): void {
    this.jobs.delete(id)
    this.fleet.broadcast({ type: GONE_MESSAGE, id }, `${GONE_MESSAGE} ${id}`)
  }

  /** Tokens of unfinished items of the jobs that `isOn` says are on a route. */
  countWaitingTokens (isOn: (job: KnownJob) => boolean): number {
    return this.list().reduce((sum, job) => sum + (!job.closed && isOn(job) ? job.tokensLeft : 0), 0)
  }

  /** Listeners hear it in any case: an owner then says that it is one. */
  private receiveSeen ({ job }: PeerMessage): void {
    const received = job as KnownJob
    if (typeof received?.id !== 'string') return
    this.addIfAbsent(received)
    for (const listener of this.listeners) listener(received)
  }

  /** What was closed stays so, whatever an owner says that hasn't heard. */
  private receive ({ job }: PeerMessage): void {
    const received = job as KnownJob
    if (typeof received?.id !== 'string' || typeof received.owner !== 'string') return
    const known = this.jobs.get(received.id)
    const next = known?.closed === true ? { ...received, closed: true } : received
    this.jobs.set(received.id, next)
    for (const listener of this.listeners) listener(next)
  }
}

partRegistry.register({ name: 'job book', part: JobRegistry, needs: ['fleet cast'] })
