import { performance } from 'node:perf_hooks'
import type { Clock } from './clock.js'
import { PeriodicTasks } from './periodic-tasks.js'

/** The clock of the process. Its timers keep the process running. */
export class SystemClock implements Clock {
  private readonly tasks = new PeriodicTasks(this)

  now (): number {
    return performance.now()
  }

  date (): number {
    return Date.now()
  }

  after (delay: number, task: () => void): () => void {
    const timer = setTimeout(task, delay)
    return () => clearTimeout(timer)
  }

  every (period: number, task: () => void): () => void {
    return this.tasks.add(period, task)
  }
}
