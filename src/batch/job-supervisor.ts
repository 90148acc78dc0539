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
import { ChunkSource } from './chunk-source.js'
import { HoldingRecord } from './holding-record.js'
import type { Job } from './job.js'
import { JobFinalizer } from './job-finalizer.js'
import { JobStore } from './job-store.js'
import { JobWatch } from './job-watch.js'
import { ClaimRecovery } from './claim-recovery.js'

const RECOVERY_PERIOD = 1_000
const FINALIZE_PERIOD = 1_000
/** ms between two looks for holders that nobody remembers. */
const HOLDER_CHECK_PERIOD = 4_000
/** ms in which chunks that are let go are announced together. */
const FREED_NOTICE_DELAY = 100
/** Daemons that hear of chunks let go: enough that some have room, and few beside 380 that would all read at once. */
const MAX_FREED_RECIPIENTS = 16
const CANCELLED = 'batch cancelled'
const SUBMITTED = 'batch submitted'
const FREED = 'batch freed'

/** Speeds up by peer messages what the platform's objects make safe, and looks after what dead daemons left. */
@scoped(Lifecycle.ContainerScoped)
export class JobSupervisor implements Part {
  readonly extensions = [
    peerHandlerPoint.of({ type: CANCELLED, handle: (message: PeerMessage) => { void this.handleCancelled(message) } }),
    peerHandlerPoint.of({ type: FREED, handle: () => this.source.searchAgain() }),
    peerHandlerPoint.of({ type: SUBMITTED, handle: (message: PeerMessage) => this.handleSubmitted(message) })
  ]

  private readonly finalizing = new Set<string>()
  private knownMembers: readonly string[] = []
  /** Holders that were no members at the last look. */
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

  /** Tells every daemon to look at the job now, and brings it to its end. */
  announceCancel (job: string): void {
    this.sendToAll({ type: CANCELLED, job })
    void this.watch.check(job)
  }

  /** Tells every daemon that there is work for these services. */
  announceSubmit (services: readonly string[]): void {
    this.sendToAll({ type: SUBMITTED, services })
    this.source.searchAgain(services)
  }

  /**
   * Tells some daemons that there are chunks to claim. They had found them held and left them alone, for 5 s and up to a
   * minute in a large fleet; the symptom is a job that stands still after an orderly shutdown for longer than after a kill.
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

  /** Goes on until the job has ended. Others that do the same get in nobody's way, but the first in rank is enough. */
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
   * Frees what daemons hold that died before this one had heard of them, as when they had just started or this one
   * has. Remembered members alone miss them, and a job stands still until their lease ends. One daemon of the fleet
   * lists the holders; who is missing at two looks in turn isn't merely late in becoming known.
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
