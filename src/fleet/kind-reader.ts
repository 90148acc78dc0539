import type { Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Random } from '../kernel/random.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { WatchBatch } from '../store/watch-batch.js'
import { planCheck } from './plan-check.js'
import type { ReaderRole } from './reader-role.js'

/** Duration of one watch, ms. It only makes changes known at once; short reads bound how long one may stay unknown. */
const WATCH_TIME = 12_000
/** Shortest time between two watches, ms. While many objects change, one answer then brings the changes of that time. */
const MIN_WATCH_INTERVAL = 250
/** Timeout of the first read, which returns all objects, ms. */
const FIRST_TIMEOUT = 1_500
/** Wait of a short read, ms: the minimum that the store accepts. */
const CHECK_WAIT = 1
/** Timeout of a short read, ms, and after one that wasn't answered, as the store may be slow. */
const CHECK_TIMEOUT = 600
const LONG_CHECK_TIMEOUT = 1_200
/** Pause after a failed watch, ms, which doubles with each; the end of an outage ends it. */
const WATCH_RETRY = 250
const MAX_WATCH_RETRY = 1_000
/** Interval at which a daemon looks whether it has to read, ms. */
const RECHECK = 250
/** Time within which a pending watch must return a change that is known otherwise, ms. */
const DELIVERY_TIME = 500

interface KindReaderOptions<T> {
  readonly store: Pick<ObjectStore, 'watch'>
  readonly clock: Clock
  readonly random: Random
  readonly kind: string
  readonly getCursor: () => number
  readonly getRole: () => ReaderRole
  /** Returns the time since the store's newest answer that this daemon knows of, ms. */
  readonly readAge: () => number
  /** Handles an answer that shows the store's state at `at` or later, monotonic ms; returns whether anything changed. */
  readonly onBatch: (batch: WatchBatch<T>, at: number) => boolean
  /** Handles a failed read that began at `began`, monotonic ms. */
  readonly onFailure: (error: StoreError, began: number) => void
  /** Called after each short read that was answered. */
  readonly onChecked: () => void
}

/** Reads a kind of object: a watch makes changes known at once, and short reads bound the age of what is known (`planCheck`). */
export class KindReader<T> {
  /** Aborts the pending watch, or the pause before the next one. */
  private watching = new AbortController()
  private stopped = false

  constructor (private readonly options: KindReaderOptions<T>) {}

  start (): void {
    void this.watch()
    void this.check()
  }

  stop (): void {
    this.stopped = true
    this.watching.abort()
  }

  /** Watches anew: the answer to a pending watch may have been lost. */
  restartWatch (): void {
    this.watching.abort()
  }

  /** Watches anew unless the pending watch soon returns a change that became known otherwise. */
  expectDelivery (): void {
    const { watching, options: { clock } } = this
    clock.after(DELIVERY_TIME, () => { if (watching === this.watching) watching.abort() })
  }

  private get isReading (): boolean {
    return this.options.getCursor() < 0 || this.options.getRole().type !== 'follower'
  }

  private async watch (): Promise<void> {
    const { store, clock, random, kind, getCursor, onBatch, onFailure } = this.options
    for (let failures = 0; !this.stopped;) {
      const { signal } = this.watching = new AbortController()
      if (!this.isReading) {
        await this.pauseUnless(signal, random.spread(RECHECK, 0.4))
        continue
      }
      const began = clock.now()
      const isFirst = getCursor() < 0
      const batch = await store.watch<T>(kind, getCursor(), isFirst ? 0 : WATCH_TIME, { priority: 'caller', signal, ...isFirst && { timeout: FIRST_TIMEOUT } })
      if (this.stopped) return
      if (batch.ok) {
        failures = 0
        onBatch(batch.val, clock.now())
        if (!isFirst) await this.pauseUnless(signal, Math.max(0, began + MIN_WATCH_INTERVAL - clock.now()))
      } else if (!signal.aborted) {
        onFailure(batch.val, began)
        await this.pauseUnless(signal, random.spread(Math.min(MAX_WATCH_RETRY, WATCH_RETRY * 2 ** failures++), 0.4))
      }
    }
  }

  private async check (): Promise<void> {
    const { store, clock, random, kind, getCursor, getRole, readAge, onBatch, onFailure, onChecked } = this.options
    for (let isSlow = false; !this.stopped;) {
      const plan = getCursor() < 0 ? undefined : planCheck(getRole())
      const left = plan === undefined ? RECHECK : Math.min(RECHECK, plan.age - readAge())
      if (plan === undefined || left > 0) {
        await pauseFor(clock, left)
        continue
      }
      const began = clock.now()
      const batch: Result<WatchBatch<T>, StoreError> = await store.watch<T>(kind, getCursor(), CHECK_WAIT, { priority: 'probe', timeout: isSlow ? LONG_CHECK_TIMEOUT : CHECK_TIMEOUT })
      if (this.stopped) return
      isSlow = batch.err && clock.now() - began >= CHECK_TIMEOUT
      if (batch.ok) {
        if (onBatch(batch.val, began)) this.expectDelivery()
        onChecked()
      } else {
        onFailure(batch.val, began)
        await pauseFor(clock, random.spread(plan.retry))
      }
    }
  }

  private async pauseUnless (signal: AbortSignal, time: number): Promise<void> {
    if (time <= 0 || signal.aborted) return
    await new Promise<void>(resolve => {
      const cancel = this.options.clock.after(time, resolve)
      signal.addEventListener('abort', () => {
        cancel()
        resolve()
      }, { once: true })
    })
  }
}
