import type { RefusedPart } from './refused-part.js'

/** Builds the message form of a refused part at `now`, monotonic ms. */
export function encodeRefusedPart ({ part, until, beside, losses }: RefusedPart, now: number): Readonly<Record<string, unknown>> {
  return { part, left: Math.round(until - now), beside, losses: losses.map(({ server, at }) => ({ server, ago: Math.round(now - at) })) }
}
