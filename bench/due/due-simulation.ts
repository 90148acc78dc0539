import { estimateRemainingTime } from '../../src/batch/estimate-remaining-time.js'
import type { Job } from '../../src/batch/job.js'
import { orderJobs } from '../../src/batch/order-jobs.js'
import { RecentUsage } from '../../src/batch/recent-usage.js'
import { failUnreachable } from '../../src/kernel/unreachable.js'
import { Schedule } from '../policy/schedule.js'
import type { DueJob } from './due-job.js'
import type { DueOrder } from './due-order.js'
import type { DueRun } from './due-run.js'

const CHUNK = 200 // items
/** Jobs that a daemon reads in one attempt to claim a chunk, as in src/batch/work-finder. */
const MAX_JOBS_READ = 6
/** Time in ms until a dead daemon's chunk is taken over and its servers have new owners. */
const TAKEOVER_TIME = 10_000
const RETRY_TIME = 1_000

interface Chunk { readonly job: JobState, readonly n: number, remaining: number }

interface JobState {
  readonly entry: DueJob
  readonly free: Chunk[]
  readonly finished: Record<string, { completed: number, failed: number, cancelled: number }>
  done: number
  ended?: number
}

interface Daemon {
  servers: number
  alive: boolean
  chunk?: Chunk
  /** When the progress of its chunk was last recorded. */
  since: number
  /** Incremented on each change of plan, so that a scheduled end of a chunk that is out of date is ignored. */
  plan: number
  readonly recentUsage: RecentUsage
  readonly remainingTime: Map<string, number>
}

interface DueOptions {
  readonly order: DueOrder
  readonly jobs: readonly DueJob[]
  readonly daemons: number
  readonly servers: number
  /** Items that a server completes per ms besides its online requests. */
  readonly pace: number
  /** Times in ms at which the first daemon, and a server of the second, are killed; undefined for never. */
  readonly daemonKilled?: number
  readonly serverKilled?: number
}

/** Simulates, on virtual time, daemons that claim chunks of jobs in a given order, each one chunk at a time. */
export class DueSimulation {
  private readonly schedule = new Schedule()
  private readonly jobs: JobState[] = []
  private readonly daemons: Daemon[]

  constructor (private readonly options: DueOptions) {
    const { daemons, servers } = options
    this.daemons = Array.from({ length: daemons }, (_, i) => ({
      servers: Math.floor(servers / daemons) + (i < servers % daemons ? 1 : 0), alive: true, since: 0, plan: 0, recentUsage: new RecentUsage(), remainingTime: new Map()
    }))
  }

  play (length: number): DueRun {
    for (const job of this.options.jobs) this.schedule.after(job.created, () => this.submit(job))
    for (const daemon of this.daemons) this.schedule.after(1, () => this.claimChunk(daemon))
    const { daemonKilled, serverKilled } = this.options
    if (daemonKilled !== undefined) this.schedule.after(daemonKilled, () => this.killDaemon(this.daemons[0]!))
    if (serverKilled !== undefined) this.schedule.after(serverKilled, () => this.setServers(this.daemons[1]!, this.daemons[1]!.servers - 1))
    this.schedule.run(length)
    const urgent = this.jobs.filter(({ entry }) => entry.urgent)
    return {
      jobs: urgent.length,
      onTime: urgent.filter(({ entry, ended }) => ended !== undefined && ended <= entry.due).length,
      late: urgent.flatMap(({ entry, ended }) => ended !== undefined && ended > entry.due ? [ended - entry.due] : []),
      backlogItems: this.jobs.reduce((sum, { entry, done }) => sum + (entry.urgent ? 0 : done), 0)
    }
  }

  private submit (entry: DueJob): void {
    const job: JobState = { entry, free: [], finished: {}, done: 0 }
    for (let n = 0; n * CHUNK < entry.items; n++) job.free.push({ job, n, remaining: Math.min(CHUNK, entry.items - n * CHUNK) })
    this.jobs.push(job)
  }

  /** Claims the first free chunk in order and schedules its end, or retries later. */
  private claimChunk (daemon: Daemon): void {
    if (!daemon.alive || daemon.chunk !== undefined) return
    for (const job of this.order(daemon).slice(0, MAX_JOBS_READ)) {
      daemon.remainingTime.set(job.entry.job, estimateRemainingTime(buildJob(job), this.schedule.now))
      const chunk = job.free.shift()
      if (chunk === undefined) continue
      daemon.chunk = chunk
      daemon.since = this.schedule.now
      daemon.recentUsage.add(job.entry.caller, chunk.remaining, this.schedule.now)
      daemon.recentUsage.add(job.entry.job, chunk.remaining, this.schedule.now)
      return this.planEnd(daemon)
    }
    this.schedule.after(RETRY_TIME, () => this.claimChunk(daemon))
  }

  private order (daemon: Daemon): readonly JobState[] {
    const open = this.jobs.filter(({ free }) => free.length > 0)
    const byEntry = new Map(open.map(job => [job.entry.job, job]))
    const entries = open.map(({ entry }) => entry)
    const sort = (): readonly { readonly job: string }[] => {
      switch (this.options.order) {
        case 'first come': return [...entries].sort((a, b) => a.created - b.created)
        case 'earliest due': return [...entries].sort((a, b) => a.due - b.due)
        case 'ours': return this.orderByRules(daemon, entries, ({ job }) => daemon.remainingTime.get(job) ?? 0)
        case 'by pace': return this.orderByRules(daemon, entries, ({ job, items }) => (items - byEntry.get(job)!.done) / (this.options.pace * this.countServers()))
        default: return failUnreachable(this.options.order)
      }
    }
    return sort().map(({ job }) => byEntry.get(job)!)
  }

  private orderByRules (daemon: Daemon, entries: readonly DueJob[], estimate: Parameters<typeof orderJobs>[1]['estimate']): ReturnType<typeof orderJobs> {
    return orderJobs(entries, { date: this.schedule.now, share: () => 1, used: name => daemon.recentUsage.get(name, this.schedule.now), estimate })
  }

  private countServers (): number {
    return this.daemons.reduce((sum, { servers }) => sum + servers, 0)
  }

  private planEnd (daemon: Daemon): void {
    const plan = ++daemon.plan
    if (daemon.servers === 0) return
    this.schedule.after(daemon.chunk!.remaining / (this.options.pace * daemon.servers), () => { if (daemon.plan === plan) this.finish(daemon) })
  }

  private finish (daemon: Daemon): void {
    const { job, n } = daemon.chunk!
    this.recordProgress(daemon)
    daemon.chunk = undefined
    job.finished[n] = { completed: Math.min(CHUNK, job.entry.items - n * CHUNK), failed: 0, cancelled: 0 }
    if (job.done > job.entry.items - 0.5) job.ended = this.schedule.now
    this.claimChunk(daemon)
  }

  private recordProgress (daemon: Daemon): void {
    const { now } = this.schedule
    const chunk = daemon.chunk
    if (chunk !== undefined) {
      const done = Math.min(chunk.remaining, (now - daemon.since) * this.options.pace * daemon.servers)
      chunk.remaining -= done
      chunk.job.done += done
    }
    daemon.since = now
  }

  private setServers (daemon: Daemon, servers: number): void {
    this.recordProgress(daemon)
    daemon.servers = servers
    if (daemon.chunk !== undefined) this.planEnd(daemon)
  }

  /** Kills a daemon. Other daemons take over its chunk and its servers after TAKEOVER_TIME; recorded results are kept. */
  private killDaemon (daemon: Daemon): void {
    const { chunk, servers } = daemon
    this.setServers(daemon, 0)
    daemon.alive = false
    daemon.chunk = undefined
    daemon.plan++
    this.schedule.after(TAKEOVER_TIME, () => {
      if (chunk !== undefined) chunk.job.free.unshift(chunk)
      const others = this.daemons.filter(({ alive }) => alive)
      for (let i = 0; i < servers; i++) this.setServers(others[i % others.length]!, others[i % others.length]!.servers + 1)
    })
  }
}

function buildJob ({ entry, finished }: JobState): Job {
  return { id: entry.job, caller: entry.caller, file: '', endpoint: '', created: entry.created, due: entry.due, items: entry.items, services: [], status: 'in_progress', finished, acceptance: '' }
}
