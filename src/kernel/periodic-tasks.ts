import type { Clock } from './clock.js'

interface Task { readonly period: number, readonly run: () => void, due: number }

/** Timers may fire up to this early, ms. */
const TIMER_TOLERANCE = 1

/**
 * Runs all periodic tasks of a process from one timer, each at multiples of its period, so that tasks of different periods
 * wake the process together; a timer for each would wake an idle daemon 130 times a second, which costs more than the tasks.
 * A task that falls behind runs once, not once for each period that it missed.
 */
export class PeriodicTasks {
  private readonly tasks = new Set<Task>()
  private armedFor = Infinity
  private cancel = (): void => {}

  constructor (private readonly clock: Pick<Clock, 'now' | 'after'>) {}

  /** Calls `run` every period, first after at least half a period; the returned function removes the task. */
  add (period: number, run: () => void): () => void {
    const task: Task = { period, run, due: findDue(this.clock.now() + period / 2, period) }
    this.tasks.add(task)
    this.arm()
    return () => this.remove(task)
  }

  private remove (task: Task): void {
    this.tasks.delete(task)
    if (this.tasks.size > 0) return
    this.cancel()
    this.armedFor = Infinity
  }

  private arm (): void {
    const due = Math.min(...[...this.tasks].map(({ due }) => due))
    if (due >= this.armedFor || due === Infinity) return
    this.cancel()
    this.armedFor = due
    this.cancel = this.clock.after(Math.max(0, due - this.clock.now()), () => this.runDue())
  }

  /** Sets the next timer before it runs the tasks, so that one that throws doesn't stop the others. */
  private runDue (): void {
    const now = this.clock.now() + TIMER_TOLERANCE
    const due = [...this.tasks].filter(task => task.due <= now)
    for (const task of due) task.due = findDue(now, task.period)
    this.armedFor = Infinity
    this.arm()
    for (const task of due) if (this.tasks.has(task)) task.run()
  }
}

/** Returns the first multiple of `period` after `time`. */
function findDue (time: number, period: number): number {
  return (Math.floor(time / period) + 1) * period
}
