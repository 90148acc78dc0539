import { performance } from 'node:perf_hooks'
import type { Clock } from './clock.js'

/** The clock of the running process. Its timers keep the process alive. */
export class SystemClock implements Clock {
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
    const timer = setInterval(task, period)
    return () => clearInterval(timer)
  }
}
