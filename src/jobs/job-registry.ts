import { inject, Lifecycle, scoped } from 'tsyringe'
import { partRegistry } from '../kernel/part-registry.js'
import { FleetBroadcast } from '../peers/fleet-broadcast.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import type { PeerMessage } from '../peers/peer-message.js'
import type { KnownJob } from './known-job.js'

const MESSAGE = 'job'
const SEEN_MESSAGE = 'job seen'
const GONE_MESSAGE = 'job gone'

/** The jobs of all daemons, as far as they have been published. The owner of a job publishes it on acceptance and as it progresses. */
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

  /** Calls `listener` with each job received from another daemon. */
  subscribe (listener: (job: KnownJob) => void): void {
    this.listeners.add(listener)
  }

  /** Replaces the entry of the job here and publishes it to the other daemons. */
  publish (job: KnownJob): void {
    this.jobs.set(job.id, job)
    this.fleet.broadcast({ type: MESSAGE, job }, `${MESSAGE} ${job.id}`)
  }

  /** Publishes a job that this daemon doesn't own. Daemons that know it already keep their own entry. */
  publishSeen (job: KnownJob): void {
    this.fleet.broadcast({ type: SEEN_MESSAGE, job }, `${SEEN_MESSAGE} ${job.id}`)
  }

  /** Adds a job unless there is an entry for it, which may be more recent. */
  addIfAbsent (job: KnownJob): void {
    if (!this.jobs.has(job.id)) this.jobs.set(job.id, job)
  }

  /** Removes a job that is no longer stored, here and at the other daemons. */
  forget (id: string): void {
    this.jobs.delete(id)
    this.fleet.broadcast({ type: GONE_MESSAGE, id }, `${GONE_MESSAGE} ${id}`)
  }

  /** Counts the tokens of the unfinished items of all open jobs for which `isOn` returns true. */
  countWaitingTokens (isOn: (job: KnownJob) => boolean): number {
    return this.list().reduce((sum, job) => sum + (!job.closed && isOn(job) ? job.tokensLeft : 0), 0)
  }

  /** Always calls the listeners, so that an owner of the job can publish itself in response. */
  private receiveSeen ({ job }: PeerMessage): void {
    const received = job as KnownJob
    if (typeof received?.id !== 'string') return
    this.addIfAbsent(received)
    for (const listener of this.listeners) listener(received)
  }

  /** Keeps a closed job closed: the sender may own it without having received that it was closed. */
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
