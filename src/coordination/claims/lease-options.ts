import type { Clock } from '../../kernel/clock.js'
import type { ObjectStore } from '../../store/object-store.js'

/** Options of a lease. */
export interface LeaseOptions {
  /** A store whose `put` is conditional on the version. */
  readonly store: Pick<ObjectStore, 'get' | 'put'>
  /** Monotonic time; wall-clock time isn't used. */
  readonly clock: Pick<Clock, 'now'>
  /** Kind and name of the object that holds the lease. */
  readonly kind?: string
  readonly name: string
  /** Unique to one run of one process: a restarted process is another holder. */
  readonly holder: string
  /** How long the lease lasts, in ms from when the write that took or renewed it was sent. */
  readonly duration?: number
}
