import type { KnownJob } from './known-job.js'

/** A job in the registry, with what orders the entries that daemons hold of it. */
export interface RegistryEntry extends KnownJob {
  /** Counts the publications of the job: a daemon publishes with a higher version than it knows. 0 where only the header was read. */
  readonly version: number
  /** When the job was found to be removed from the store, wall-clock ms; undefined while it is stored. */
  readonly removedAt?: number
}
