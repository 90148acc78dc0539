import type { Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Random } from '../kernel/random.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { WatchBatch } from '../store/watch-batch.js'

/**
 * How long one watch waits, ms. A connection that has gone silent is noticed when it runs out; news must be in force
 * within 2 s while nothing else is wrong, and the other watchers' word covers the rest.
 */
const WAIT = 4_000
/** Between a failed watch and the next, ms; short, as a daemon that hears nothing acts on what is old. */
const RETRY = 250
/** How often a daemon that leaves watching to others asks itself whether it still may, ms: a part of the 2 s above. */
const RECHECK = 250

interface FollowOptions<T> {
  readonly store: ObjectStore
  readonly clock: Clock
  readonly random: Random
  readonly kind: string
  readonly getCursor: () => number
  /** Whether to watch now; asked before each watch. */
  readonly shouldWatch: () => boolean
  readonly onBatch: (batch: WatchBatch<T>) => void
  readonly onFailure: (error: StoreError) => void
}

/** Watches a kind of object for as long as `wants` says so, resuming where the last watch ended. Ends when `signal` does. */
export async function followKind<T> (options: FollowOptions<T>, signal: AbortSignal): Promise<void> {
  const { clock, random, shouldWatch } = options
  while (!signal.aborted) {
    const batch = shouldWatch() ? await readBatch(options) : undefined
    if (signal.aborted) return
    if (batch?.ok === true) options.onBatch(batch.val)
    else {
      if (batch !== undefined) options.onFailure(batch.val)
      await pauseFor(clock, random.spread(batch === undefined ? RECHECK : RETRY, 0.4))
    }
  }
}

async function readBatch<T> ({ store, kind, getCursor }: FollowOptions<T>): Promise<Result<WatchBatch<T>, StoreError>> {
  return await store.watch<T>(kind, getCursor(), WAIT)
}
