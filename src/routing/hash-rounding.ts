import { createHash } from 'node:crypto'

const known = new Map<string, number>()

/** Between 0 and 1, the same each time for one daemon and server, and spread evenly over daemons and over servers. */
export function hashRounding (server: string, daemon: string): number {
  const key = `${server}\0${daemon}`
  const rounding = known.get(key) ?? createHash('sha256').update(key).digest().readUIntBE(0, 6) / 2 ** 48
  known.set(key, rounding)
  return rounding
}
