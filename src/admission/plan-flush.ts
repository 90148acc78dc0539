import { accountLimits } from './account-limits.js'

/** When a daemon flushes: after so many ms, or at once after so many online requests. */
interface FlushPlan { readonly period: number, readonly lead: number }

/**
 * Flushes as rare as the fleet is large, so that all daemons together make no more writes than `fleetWrites` a second.
 * `lead` bounds how many online requests a daemon may be ahead of what the platform knows, and is what a kill can cost.
 */
export function planFlush (daemons: number): FlushPlan {
  const { flushPeriod, maxUnflushed, fleetWriteRate, daemonRequestRate } = accountLimits
  const needed = Math.ceil(daemons / fleetWriteRate) * 1_000
  return needed <= flushPeriod ? { period: flushPeriod, lead: maxUnflushed } : { period: needed, lead: daemonRequestRate * needed / 1_000 }
}
