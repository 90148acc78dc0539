import { inject, Lifecycle, scoped } from 'tsyringe'
import type { LogSink } from '../../observe/log-sink.js'
import { Metrics } from '../../observe/metrics.js'
import type { Settings } from '../settings.js'
import { tokens } from '../tokens.js'
import { MemoryHold } from './memory-hold.js'

/** Memory of an instance whose settings don't state it, MB, and the share of it that the budget has. */
const DEFAULT_MEMORY = 200
const SHARE = 1 / 8
const BYTES_PER_MB = 1_000_000
/** What holds that were given up, but aren't released yet, may take besides the limit, as a share of it. */
const LEAVING_SHARE = 1
/** Share of the limit that pinned holds may take, so that others can always make room for small requests. */
const PINNED_SHARE = 3 / 4
/** Share of the limit below which a hold may always be pinned. */
const SMALL_SHARE = 1 / 64

/**
 * The memory of this process for bytes that callers decide on: bodies that arrive, accepted jobs, results that are read, answers that wait.
 *
 * When it is used up, the largest hold that isn't pinned gives way to a smaller one. So callers that hold much can't keep out those that
 * hold little, however many they are.
 */
@scoped(Lifecycle.ContainerScoped)
export class MemoryBudget {
  /** In bytes. */
  readonly limit: number
  private used = 0
  private pinned = 0
  /** Bytes of holds that were given up and aren't released yet. */
  private leaving = 0
  private readonly holds = new Set<MemoryHold>()

  constructor (
    @inject(tokens.settings) { memory = DEFAULT_MEMORY }: Pick<Settings, 'memory'>,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(Metrics) private readonly metrics: Pick<Metrics, 'count' | 'gauge'>
  ) {
    this.limit = memory * BYTES_PER_MB * SHARE
    metrics.gauge('memory_held_bytes', () => this.used)
    metrics.gauge('memory_limit_bytes', () => this.limit)
    metrics.gauge('memory_heap_bytes', () => process.memoryUsage().heapUsed)
  }

  /**
   * Opens an empty hold. `holder` names the kind of bytes in logs and metrics; `giveUp` has them dropped, and the hold
   * released once they are.
   *
   * @example
   * const hold = budget.open('connections', () => socket.destroy())
   */
  open (holder: string, giveUp: () => void): MemoryHold {
    const hold = new MemoryHold(this, holder, giveUp)
    this.holds.add(hold)
    return hold
  }

  /** Makes room for `bytes` more of a hold. Returns false where only larger or pinned holds are left besides it. */
  claim (hold: MemoryHold, bytes: number): boolean {
    if (hold.isPinned && !this.mayPin(hold.size, bytes)) return this.refuse(hold)
    while (this.used - this.leaving + bytes > this.limit) {
      const largest = this.findLargest(hold)
      if (largest === undefined || largest.size <= hold.size + bytes) return this.refuse(hold)
      this.giveUp(largest)
    }
    if (this.used + bytes > this.limit * (1 + LEAVING_SHARE)) return this.refuse(hold)
    this.add(hold, bytes)
    return true
  }

  /** Counts `bytes` of a hold, whether there is room or not; a negative number returns them. */
  add (hold: MemoryHold, bytes: number): void {
    this.used += bytes
    if (hold.isPinned) this.pinned += bytes
    if (hold.isLeaving) this.leaving += bytes
  }

  /** Whether `bytes` more may be pinned, in a hold that has `size` pinned already. */
  mayPin (size: number, bytes: number): boolean {
    return size + bytes <= this.limit * SMALL_SHARE || this.pinned + bytes <= this.limit * PINNED_SHARE
  }

  recordPin ({ size }: MemoryHold, isPinned: boolean): void {
    this.pinned += isPinned ? size : -size
  }

  forget (hold: MemoryHold): void {
    this.holds.delete(hold)
  }

  private giveUp (hold: MemoryHold): void {
    this.record('gave up', hold)
    this.holds.delete(hold)
    this.leaving += hold.size
    hold.isLeaving = true
    hold.giveUp()
  }

  private refuse (hold: MemoryHold): false {
    this.record('refused', hold)
    return false
  }

  private findLargest (other: MemoryHold): MemoryHold | undefined {
    let largest: MemoryHold | undefined
    for (const hold of this.holds) if (hold !== other && !hold.isPinned && hold.size > (largest?.size ?? 0)) largest = hold
    return largest
  }

  private record (outcome: 'refused' | 'gave up', { holder, size }: MemoryHold): void {
    this.metrics.count('memory_short_total', { holder, outcome })
    this.log.write('warn', 'kernel', 'the memory for callers is used up', { outcome, holder, size, used: this.used, limit: this.limit })
  }
}
