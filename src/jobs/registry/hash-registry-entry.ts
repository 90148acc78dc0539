import { createHash } from 'node:crypto'
import type { RegistryEntry } from './registry-entry.js'

/** Returns a 48-bit hash of all that daemons must agree on about a job. */
export function hashRegistryEntry ({ id, submittedAt, version, owner, run, tokensLeft, stored, closed, removedAt }: RegistryEntry): number {
  return createHash('sha256').update(JSON.stringify([id, submittedAt, version, owner, run, tokensLeft, stored, closed, removedAt])).digest().readUIntBE(0, 6)
}
