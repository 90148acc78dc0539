/** The stored value of a lease. `duration` in ms; 0 after a release. */
export interface LeaseValue {
  readonly holder: string
  readonly duration: number
}
