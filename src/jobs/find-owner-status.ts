import type { OwnerProcess } from './owner-process.js'

/**
 * What membership tells of a process that owns a job, other than that it is alive: `ended` for certain, or the job released by it; `lost`, and it
 * may still run where it can't be reached from here; `unknown`, as it started after all that is known of its daemon.
 */
type OwnerStatus = 'ended' | 'lost' | 'unknown'

/** Returns the status of a process by the latest known start of its daemon's process, wall-clock ms. */
export function findOwnerStatus ({ owner, run }: OwnerProcess, latestRun = 0): OwnerStatus {
  if (owner === '' || latestRun > run) return 'ended'
  return latestRun < run ? 'unknown' : 'lost'
}
