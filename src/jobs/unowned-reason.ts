/**
 * Why no live daemon runs an open job, as far as this daemon knows.
 * - `not held`: the registry names this process as the owner, which doesn't have the job.
 * - `ended`, `lost`, `unknown`: the named process isn't alive, see `findOwnerStatus`.
 */
export type UnownedReason = 'not held' | 'ended' | 'lost' | 'unknown'
