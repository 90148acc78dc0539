import { Random } from '../../src/kernel/random.js'
import type { DueJob } from './due-job.js'
import type { DueOrder } from './due-order.js'
import type { DueRun } from './due-run.js'
import { DueSimulation } from './due-simulation.js'
import type { DueSite } from './due-site.js'

const MINUTE = 60_000
const BACKLOG_CALLERS = 6
const BACKLOG_WINDOW = 24 * 60 * MINUTE
const DAEMON_KILLED = 10 * MINUTE
const SERVER_KILLED = 15 * MINUTE
const LENGTH = 120 * MINUTE

interface DueRunOptions {
  readonly order: DueOrder
  readonly seed: number
  readonly faults: boolean
}

/**
 * Simulates urgent jobs beside a backlog of other callers' jobs that would keep the fleet busy for two hours. With
 * `faults`, a daemon and a server are killed during the run.
 */
export function runDue ({ daemons, servers, pace, urgent }: DueSite, { order, seed, faults }: DueRunOptions): DueRun {
  const random = new Random(seed)
  const perCaller = Math.ceil(pace * servers * LENGTH / BACKLOG_CALLERS)
  const backlog = Array.from({ length: BACKLOG_CALLERS }, (_, i): DueJob => ({ job: `backlog-${i}`, service: 's', caller: `caller-${i}`, created: i, due: i + BACKLOG_WINDOW, items: perCaller, urgent: false }))
  const due = Array.from({ length: urgent.jobs }, (_, i): DueJob => {
    const created = random.below(urgent.spread)
    const window = urgent.window.from + random.below(urgent.window.spread)
    return { job: `near-${i}`, service: 's', caller: `kitchen-${i % urgent.callers}`, created, due: created + window, items: urgent.items.from + random.below(urgent.items.spread), urgent: true }
  })
  const killed = faults ? { daemonKilled: DAEMON_KILLED, serverKilled: SERVER_KILLED } : {}
  return new DueSimulation({ order, jobs: [...backlog, ...due], daemons, servers, pace, ...killed }).play(LENGTH)
}
