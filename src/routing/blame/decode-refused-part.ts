import type { RefusedPart } from './refused-part.js'

/** Reads the message form of a refused part at `now`, monotonic ms; undefined if it isn't one. */
export function decodeRefusedPart (value: unknown, now: number): RefusedPart | undefined {
  const { part, left, beside, losses } = (value ?? {}) as Readonly<Record<string, unknown>>
  if (typeof part !== 'string' || typeof left !== 'number' || !Number.isFinite(left) || !Array.isArray(beside) || !Array.isArray(losses)) return undefined
  return { part, until: now + left, beside: beside.map(String), losses: losses.flatMap(loss => typeof loss?.server === 'string' && Number.isFinite(loss.ago) ? [{ server: loss.server, at: now - loss.ago }] : []) }
}
