import type { Clock } from '../../src/kernel/clock.js'
import { PeriodicTasks } from '../../src/kernel/periodic-tasks.js'

const MICROSECONDS_PER_MS = 1_000
/** Longest step between ticks that counts as waiting for something else than the processor, ms. */
const MAX_STEP = 5

/**
 * A clock that stands still while the system doesn't run this process, so that a bound on a wait holds on a busy machine as well.
 * Waits for timers, sockets and other processes count in full, as does the processor time of this process with all its threads.
 */
export class RunningClock implements Clock {
  private readonly tasks = new PeriodicTasks(this)
  private elapsed = 0
  private lastTick = performance.now()
  private lastCpu = readCpuTime()

  constructor () {
    setInterval(() => this.tick(), 1).unref()
  }

  /** Running time since the clock was created, ms. */
  now (): number {
    this.tick()
    return this.elapsed
  }

  date (): number {
    return Date.now()
  }

  after (delay: number, task: () => void): () => void {
    const due = this.now() + delay
    const run = (): void => {
      const rest = due - this.now()
      if (rest > 0) timer = setTimeout(run, rest)
      else task()
    }
    let timer = setTimeout(run, delay)
    return () => clearTimeout(timer)
  }

  every (period: number, task: () => void): () => void {
    return this.tasks.add(period, task)
  }

  private tick (): void {
    const [now, cpu] = [performance.now(), readCpuTime()]
    this.elapsed += Math.min(now - this.lastTick, cpu - this.lastCpu + MAX_STEP)
    this.lastTick = now
    this.lastCpu = cpu
  }
}

/** Processor time of this process, ms. */
function readCpuTime (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MS
}
