import type { Member } from '../peers/member.js'

/** Status of one daemon, with its view of the members. */
export interface FleetStatus {
  readonly instance: string
  readonly configuration: number
  readonly members: readonly Member[]
}
