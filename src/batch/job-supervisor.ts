import { inject, Lifecycle, scoped } from 'tsyringe'
import { rankOwners } from '../coordination/rank-owners.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import { PeerLinks } from '../peers/peer-links.js'
import { peerHandlerPoint } from '../peers/peer-handler-point.js'
import type { PeerMessage } from '../peers/peer-message.js'
import { ChunkSource } from './chunks/chunk-source.js'
import { HoldingRecord } from './chunks/holding-record.js'
import type { Job } from './job.js'
import { JobFinalizer } from './job-finalizer.js'
import { JobStore } from './job-store.js'
import { JobWatch } from './job-watch.js'
import { ClaimRecovery } from './chunks/claim-recovery.js'

/** ms between checks for dead daemons. */
const RECOVERY_PERIOD = 1_000
/** ms between attempts to finalize a cancelled job. */
const FINALIZE_PERIOD = 1_000
/** ms between checks for holders that aren't members. */
const HOLDER_CHECK_PERIOD = 4_000
/** ms during which released chunks are collected for one notification. */
const FREED_NOTICE_DELAY = 100
/**
 * Daemons notified of released chunks: enough that some have capacity, few enough that not all of a large fleet read
 * at once.
 */
const MAX_FREED_RECIPIENTS = 16
const CANCELLED = 'batch cancelled'
const SUBMITTED = 'batch submitted'
const FREED = 'batch freed'

/**
 * Notifies other daemons of submitted, cancelled and freed work, finalizes cancelled jobs and recovers the claims of
 * dead daemons. Messages may be lost: they only make others act sooner than their periodic checks.
 */
@scoped(Lifecycle.ContainerScoped)
export class JobSupervisor implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: CANCELLED, handle: (message: PeerMessage) => { void this.handleCancelled(message) } }),
    peerHandlerPoint.of({ type: FREED, handle: () => this.source.searchAgain() }),
    peerHandlerPoint.of({ type: SUBMITTED, handle: (message: PeerMessage) => this.handleSubmitted(message) })
  ]

  private readonly finalizing = new Set<string>()
  private knownMembers: readonly string[] = []
  /** Holders that weren't members at the last check. */
  private unknownHolders: readonly string[] = []
  private nextHolderCheck = 0
  private freedNoticeScheduled = false
  private cancelTimer = (): void => {}

  constructor (
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(Members) private readonly members: Members,
    @inject(PeerLinks) private readonly links: PeerLinks,
    @inject(HoldingRecord) private readonly holding: HoldingRecord,
    @inject(JobWatch) private readonly watch: JobWatch,
    @inject(JobStore) private readonly jobs: JobStore,
    @inject(JobFinalizer) private readonly finalizer: JobFinalizer,
    @inject(ClaimRecovery) private readonly recovery: ClaimRecovery,
    @inject(ChunkSource) private readonly source: ChunkSource
  ) {
    watch.subscribe(job => { void this.finalizeCancelled(job) })
    source.subscribeFreed(chunk => this.announceFreed(chunk))
  }

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(RECOVERY_PERIOD, () => { void this.recoverDeadDaemons() })
  }

  async stop (): Promise<void> {
    this.cancelTimer()
  }

  /** Notifies every daemon that the job has been cancelled, and starts finalizing it. */
  announceCancel (job: string): void {
    this.sendToAll({ type: CANCELLED, job })
    void this.watch.check(job)
  }

  /** Notifies every daemon that there is work for these services. */
  announceSubmit (services: readonly string[]): void {
    this.sendToAll({ type: SUBMITTED, services })
    this.source.searchAgain(services)
  }

  /**
   * Notifies some daemons that there are chunks to claim. Having found these held, they would skip them for several
   * seconds, or up to a minute in a large fleet, and a job would wait longer after an orderly shutdown than after a
   * crash.
   */
  private announceFreed (chunk: string): void {
    if (this.freedNoticeScheduled) return
    this.freedNoticeScheduled = true
    this.clock.after(FREED_NOTICE_DELAY, () => {
      this.freedNoticeScheduled = false
      const { instance } = this.holding.incarnation
      const others = this.members.owners().filter(name => name !== instance)
      for (const name of rankOwners(chunk, others).slice(0, MAX_FREED_RECIPIENTS)) this.links.send(name, { type: FREED })
    })
  }

  private sendToAll (message: PeerMessage): void {
    for (const { instance } of this.members.all()) {
      if (instance.name !== this.holding.incarnation.instance) this.links.send(instance.name, message)
    }
  }

  private async handleCancelled ({ job }: PeerMessage): Promise<void> {
    if (typeof job === 'string' && this.watch.isWatching(job)) await this.watch.check(job)
  }

  private handleSubmitted ({ services }: PeerMessage): void {
    if (Array.isArray(services)) this.source.searchAgain(services.filter(service => typeof service === 'string'))
  }

  /** Runs until the job has ended. Other daemons may do the same at the same time. */
  private async finalizeCancelled (id: string): Promise<void> {
    if (this.finalizing.has(id)) return
    this.finalizing.add(id)
    for (let job: Job | undefined; ;) {
      job = (await this.jobs.read(id, 'background')).unwrapOr(job)
      if (job !== undefined && (job.status !== 'cancelling' || await this.finalizer.finalize(job))) break
      if (job === undefined) break
      await pauseFor(this.clock, FINALIZE_PERIOD)
    }
    this.finalizing.delete(id)
  }

  private async recoverDeadDaemons (): Promise<void> {
    const alive = this.members.all().map(({ instance }) => instance.name)
    this.source.fleetSize = alive.length
    const departed = this.knownMembers.filter(name => !alive.includes(name))
    this.knownMembers = [...new Set([...this.knownMembers, ...alive])]
    for (const name of departed) if (this.isResponsible(`holding/${name}`)) await this.recover(name)
    await this.recoverUnknownHolders()
  }

  /**
   * Frees the chunks of daemons that crashed before this one had them as members, for example because either had just
   * started. Otherwise their jobs would wait until the lease expires. One daemon of the fleet lists the holders. Only
   * those missing in two checks in a row are recovered, since a new daemon may not be a member yet.
   */
  private async recoverUnknownHolders (): Promise<void> {
    if (!this.isResponsible('holdings') || this.clock.now() < this.nextHolderCheck) return
    this.nextHolderCheck = this.clock.now() + HOLDER_CHECK_PERIOD
    const holders = await this.recovery.listHolders()
    const alive = this.members.all().map(({ instance }) => instance.name)
    const missing = holders.filter(name => !alive.includes(name))
    const missingBefore = this.unknownHolders
    this.unknownHolders = missing
    for (const name of missing) if (missingBefore.includes(name)) await this.recover(name)
  }

  private isResponsible (key: string): boolean {
    return rankOwners(key, this.members.owners())[0] === this.holding.incarnation.instance
  }

  private async recover (name: string): Promise<void> {
    if (!await this.recovery.recover(name)) return
    this.knownMembers = this.knownMembers.filter(other => other !== name)
    this.sendToAll({ type: FREED })
    this.source.searchAgain()
  }
}

partRegistry.register({ name: 'job care', part: JobSupervisor, needs: ['job watch', 'chunk source', 'members', 'peer links'] })
