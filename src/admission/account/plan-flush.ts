import { accountLimits } from './account-limits.js'

/** The next flush is due after `period` ms or `lead` online requests. */
interface FlushPlan { readonly period: number, readonly lead: number }

/**
 * Plans the flushes of a daemon. The larger the fleet, the longer the period, so that all daemons together flush no more than
 * `fleetWriteRate` times a second. `lead` bounds the online requests of a daemon that the platform doesn't have yet, and so
 * what a kill can lose.
 */
export function planFlush (daemons: number): FlushPlan {
  const { flushPeriod, maxUnflushed, fleetWriteRate, daemonRequestRate } = accountLimits
  const needed = Math.ceil(daemons / fleetWriteRate) * 1_000
  return needed <= flushPeriod ? { period: flushPeriod, lead: maxUnflushed } : { period: needed, lead: daemonRequestRate * needed / 1_000 }
}
