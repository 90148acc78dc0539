import { splitEntitlements } from './split-entitlements.js'

interface Holder { readonly caller: string, readonly service: string, readonly share: number }

/** Server time that a caller used in a busy minute, and what its share entitled it to, ms. */
interface Entitlement { readonly caller: string, readonly service: string, readonly got: number, readonly entitled: number }

interface Usage extends Holder { got: number, waited: boolean }

const MINUTE = 60_000

/**
 * Compares what each caller used with what its share entitled it to, over the minutes in which requests of a pool waited at
 * this daemon. Other minutes are left out, because shares have no effect in them.
 */
export class BusyShares {
  private usage = new Map<string, Usage>()
  private minuteStart: number

  constructor (now: number) {
    this.minuteStart = now
  }

  /** Records that a request held a slot for `time` ms. */
  record (holder: Holder, time: number): void {
    this.read(holder).got += time
  }

  /** Records that a request had to wait. */
  recordWait (holder: Holder): void {
    this.read(holder).waited = true
  }

  /** Returns the usage of each caller in a minute that has ended; empty before its end, or if no request waited. */
  take (now: number): readonly Entitlement[] {
    if (now < this.minuteStart + MINUTE) return []
    const usages = [...this.usage.values()]
    this.minuteStart = now
    this.usage = new Map()
    if (!usages.some(({ waited }) => waited)) return []
    const entitled = splitEntitlements(usages)
    return usages.map(({ caller, service, got }, i) => ({ caller, service, got, entitled: entitled[i]! }))
  }

  /** Returns the usage of a caller. A caller that uses several services of a pool has one share, and is counted under the first of them. */
  private read (holder: Holder): Usage {
    const known = this.usage.get(holder.caller) ?? { ...holder, got: 0, waited: false }
    this.usage.set(holder.caller, known)
    return known
  }
}
