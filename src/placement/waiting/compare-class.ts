import type { RankedRequest } from './ranked-request.js'

/**
 * Compares the classes of two waiting requests that are both late or both on time; negative if `a` goes first. First attempts go before
 * retries. In an overload that lasts, retries would otherwise take every slot, and callers that make a single attempt would starve.
 * A retry of a caller that was below its share counts as a first attempt, so that the requests of others don't hold it
 * back. Requests of higher priority follow.
 */
export function compareClass (a: RankedRequest, b: RankedRequest): number {
  return Number(isYielding(a)) - Number(isYielding(b)) || a.priority - b.priority
}

function isYielding ({ returning, isShareUsed }: RankedRequest): boolean {
  return returning && isShareUsed
}
