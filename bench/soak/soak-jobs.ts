import { RoutedEntryClient } from '../../stand-ins/machines/routed-entry-client.js'
import type { SentJob } from './sent-job.js'
import type { SoakFleet } from './soak-fleet.js'
import { soakKeys } from './soak-keys.js'
import { soakSize } from './soak-size.js'

const ACCEPTED = 202
const MAX_ATTEMPTS = 4
const ATTEMPT_TIMEOUT = 4_000 // ms
const READ_PERIOD = 500 // ms
/** Every n-th job is cancelled by its caller, and every n-th has an item that always fails. */
const CANCEL_EVERY = 4
const IMPOSSIBLE_EVERY = 3

/** Submits jobs to the daemons in turn until each is accepted, reads their results and cancels some of them. */
export class SoakJobs {
  readonly jobs: SentJob[] = []
  private turn = 0

  constructor (private readonly soak: SoakFleet) {}

  /** Submits jobs until `end`; resolves once each is accepted or its attempts are used up. */
  async submitAll (end: number): Promise<void> {
    const submitted: Array<Promise<void>> = []
    for (let n = 0; this.soak.now() < end; n++) {
      submitted.push(this.submit(n))
      await new Promise(resolve => setTimeout(resolve, soakSize.jobPeriod))
    }
    await Promise.all(submitted)
  }

  /** Reads all accepted jobs repeatedly until each that wasn't cancelled is complete, or until `end`. Asks again for cancellations that weren't confirmed. */
  async readAll (end: number): Promise<void> {
    while (this.soak.now() < end) {
      await Promise.all(this.jobs.filter(({ acceptedAt }) => acceptedAt !== undefined).map(async job => await this.read(job)))
      await Promise.all(this.jobs.filter(job => this.isUnconfirmed(job)).map(async job => await this.cancel(job)))
      if (this.jobs.every(job => this.isDone(job))) return
      await new Promise(resolve => setTimeout(resolve, READ_PERIOD))
    }
  }

  /** Reads every accepted job at every daemon, again after a failure. */
  async readEverywhere (): Promise<void> {
    for (const job of this.jobs.filter(({ acceptedAt }) => acceptedAt !== undefined)) {
      for (let daemon = 0; daemon < this.soak.daemons; daemon++) await this.readAgain(job, daemon)
    }
  }

  private async readAgain (job: SentJob, daemon: number): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      await this.read(job, daemon)
      if (job.reads.at(-1)!.status === 200) return
      await new Promise(resolve => setTimeout(resolve, READ_PERIOD))
    }
  }

  private isUnconfirmed ({ endAskedAt, endedAt }: SentJob): boolean {
    return endAskedAt !== undefined && endedAt === undefined
  }

  private isDone (job: SentJob): boolean {
    const { acceptedAt, endedAt, items, reads } = job
    return acceptedAt === undefined || endedAt !== undefined || (!this.isUnconfirmed(job) && (reads.at(-1)?.results.length ?? 0) === items.length)
  }

  private async submit (n: number): Promise<void> {
    const id = `job-${n}`
    const items = Array.from({ length: soakSize.jobItems }, (_, i) => i === 0 && n % IMPOSSIBLE_EVERY === 0 ? `${id}-${i}/impossible` : `${id}-${i}`)
    const job: SentJob = { id, items, statuses: [], acceptedAt: undefined, endedAt: undefined, reads: [] }
    this.jobs.push(job)
    const prefix = this.soak.usesParts ? { prefix: `common:10,${id}:10` } : {}
    const sent = items.map(item => ({ id: item, path: `/drafts/${item}`, tokens: 10, ...prefix }))
    for (let attempt = 0; attempt < MAX_ATTEMPTS && job.acceptedAt === undefined; attempt++) {
      const status = await this.openClient(this.nextDaemon()).submitJob(id, sent)
      job.statuses.push(status)
      if (status === ACCEPTED) job.acceptedAt = this.soak.now()
      else await new Promise(resolve => setTimeout(resolve, READ_PERIOD))
    }
    if (job.acceptedAt !== undefined && n % CANCEL_EVERY === 1) await this.cancel(job)
  }

  private async cancel (job: SentJob): Promise<void> {
    job.endAskedAt ??= this.soak.now()
    for (let attempt = 0; attempt < MAX_ATTEMPTS && job.endedAt === undefined; attempt++) {
      if (await this.openClient(this.nextDaemon()).endJob(job.id) === 200) job.endedAt = this.soak.now()
    }
  }

  private async read (job: SentJob, daemon = this.nextDaemon()): Promise<void> {
    const at = this.soak.now()
    job.reads.push({ at, daemon, ...await this.openClient(daemon).readResults(job.id) })
  }

  private nextDaemon (): number {
    return this.turn++ % this.soak.daemons
  }

  private openClient (daemon: number): RoutedEntryClient {
    return new RoutedEntryClient(this.soak.callerRelays[daemon]!.address, ATTEMPT_TIMEOUT, soakKeys.usual.key)
  }
}
