import type { Instance } from '../store/instance.js'

/** A daemon of the fleet, as seen by this one. */
export interface Member {
  readonly instance: Instance
  readonly state: 'alive' | 'suspect' | 'leaving'
  /** Whether it accepts callers: it has a configuration. */
  readonly ready: boolean
  /** Wall-clock start of its process, ms; 0 while it is known only from the platform's list. */
  readonly run: number
}
