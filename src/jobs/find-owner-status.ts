import { isReleased } from './is-released.js'
import type { OwnerProcess } from './owner-process.js'

/**
 * Status of a process that owns a job and isn't alive by membership.
 * - `ended`: it has released the job, or its daemon runs a later process.
 * - `lost`: it is held for dead, but may run where this daemon can't reach it.
 * - `unknown`: this daemon knows no process of that daemon, or only earlier ones.
 */
type OwnerStatus = 'ended' | 'lost' | 'unknown'

/** Returns the status of a process by the latest known start of its daemon's process, wall-clock ms. */
export function findOwnerStatus (process: OwnerProcess, latestRun = 0): OwnerStatus {
  if (isReleased(process) || latestRun > process.run) return 'ended'
  return latestRun < process.run ? 'unknown' : 'lost'
}
