/** Health of a server by its answers to health checks. */
export interface HealthState {
  readonly state: 'open' | 'down'
  /** Failed checks since the last successful one. */
  readonly failures: number
}
