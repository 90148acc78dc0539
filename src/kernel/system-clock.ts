import { performance } from 'node:perf_hooks'
import type { Clock } from './clock.js'
import { PeriodicTasks } from './periodic-tasks.js'

/**
 * The clock of the process. Its timers keep the process running.
 *
 * What arrived until a timer was due is read before its task runs, so that a process that stood still doesn't take a peer for silent.
 */
export class SystemClock implements Clock {
  private readonly tasks = new PeriodicTasks(this)

  now (): number {
    return performance.now()
  }

  date (): number {
    return Date.now()
  }

  after (delay: number, task: () => void): () => void {
    let turn: NodeJS.Immediate | undefined
    const timer = setTimeout(() => { turn = setImmediate(task) }, delay)
    return () => {
      clearTimeout(timer)
      if (turn !== undefined) clearImmediate(turn)
    }
  }

  every (period: number, task: () => void): () => void {
    return this.tasks.add(period, task)
  }
}
