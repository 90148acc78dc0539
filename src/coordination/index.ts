export { rankOwners } from './rank-owners.js'
export { Lease } from './lease.js'
export type { LeaseError } from './lease-error.js'
export type { LeaseOptions } from './lease-options.js'
