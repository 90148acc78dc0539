import type { PlacementRequest } from './placement-request.js'
import type { SlotRequest } from './slot-request.js'

interface AskedSlot {
  readonly n: number
  readonly group: number
  readonly request: PlacementRequest
  /** Servers that this daemon doesn't use. */
  readonly unavailable: readonly string[]
  /** Monotonic ms. */
  readonly now: number
}

/** Builds the message that asks a group's broker for a slot. */
export function buildSlotRequest ({ n, group, request, unavailable, now }: AskedSlot): SlotRequest {
  const { pool, key, version, caller, isCounted = false, size, avoided, excluded, arrived, asked, deadline, beginBy, target, priority, returning, repeatable } = request
  return {
    work: 'online',
    n,
    pool,
    group,
    avoided: [...avoided, ...unavailable],
    waited: now - arrived,
    sinceAsked: now - asked,
    left: deadline - now,
    beginWithin: beginBy - now,
    target,
    priority,
    returning,
    repeatable,
    ...key !== undefined && { key },
    ...version !== undefined && { version },
    ...caller !== undefined && { caller },
    ...excluded !== undefined && { excluded },
    ...isCounted && { isCounted },
    ...size !== undefined && { size }
  }
}
