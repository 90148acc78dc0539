import type { Clock } from '../../src/kernel/clock.js'

interface Timer { due: number, readonly period?: number, readonly task: () => void }

/** A clock that advances only by its methods. */
export class VirtualClock implements Clock {
  private time = 0
  private readonly timers = new Set<Timer>()

  now (): number {
    return this.time
  }

  date (): number {
    return 1_000_000_000_000 + this.time
  }

  after (delay: number, task: () => void): () => void {
    return this.add({ due: this.time + delay, task })
  }

  every (period: number, task: () => void): () => void {
    return this.add({ due: this.time + period, period, task })
  }

  /** Advances by `time` ms, running the timers that fall due and letting promises settle after each. */
  async advance (time: number): Promise<void> {
    const end = this.time + time
    await settle()
    for (let next = this.findNext(end); next !== undefined; next = this.findNext(end)) {
      this.time = Math.max(this.time, next.due)
      if (next.period === undefined) this.timers.delete(next)
      else next.due += next.period
      next.task()
      await settle()
    }
    this.time = end
  }

  /** Jumps ahead without running timers, as a process sees it that was paused. */
  pause (time: number): void {
    this.time += time
  }

  private add (timer: Timer): () => void {
    this.timers.add(timer)
    return () => this.timers.delete(timer)
  }

  private findNext (end: number): Timer | undefined {
    return [...this.timers].filter(({ due }) => due <= end).sort((a, b) => a.due - b.due)[0]
  }
}

async function settle (): Promise<void> {
  for (let i = 0; i < 20; i++) await Promise.resolve()
}
