/** A daemon that another one contacts when it starts while the platform is unavailable. */
export interface Seed {
  readonly name: string
  readonly host: string
  readonly peerPort: number
  readonly failureDomain: string
}
