/** What an owner makes of a server's answers to health checks. */
export interface HealthState {
  readonly state: 'open' | 'down'
  /** Checks that failed since the last one that succeeded. */
  readonly failures: number
}
