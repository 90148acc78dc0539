/** What a lease stores in its object. `duration` in ms; 0 once it has been released. */
export interface LeaseValue {
  readonly holder: string
  readonly duration: number
}
