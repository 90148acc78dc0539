import type { Member } from '../peers/member.js'

/** What one daemon says of itself and of the others. */
export interface FleetStatus {
  readonly instance: string
  readonly configuration: number
  readonly members: readonly Member[]
}
