import type { Instance } from '../store/instance.js'

/** A daemon as this one sees it. */
export interface Member {
  readonly instance: Instance
  readonly state: 'alive' | 'suspect' | 'leaving'
  /** Whether it takes callers: it knows a configuration. */
  readonly ready: boolean
  /** Wall-clock ms at which its process started; 0 while only the platform's list knows it. */
  readonly run: number
}
