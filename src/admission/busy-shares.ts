import { splitEntitlements } from './split-entitlements.js'

interface Holder { readonly caller: string, readonly service: string, readonly share: number }

/** What a caller got of a busy minute, and what it was entitled to, ms of server time. */
interface Entitlement { readonly caller: string, readonly service: string, readonly got: number, readonly entitled: number }

interface Usage extends Holder { got: number, waited: boolean }

const MINUTE = 60_000

/**
 * Compares, for the minutes in which requests of a pool waited at this daemon, what each caller got with what its share
 * entitled it to. Minutes in which nobody waited say nothing about shares and are left out.
 */
export class BusyShares {
  private usage = new Map<string, Usage>()
  private begin: number

  constructor (now: number) {
    this.begin = now
  }

  /** A place was held for `time` ms. */
  record (holder: Holder, time: number): void {
    this.read(holder).got += time
  }

  /** A request had to wait. */
  recordWait (holder: Holder): void {
    this.read(holder).waited = true
  }

  /** What is to be counted of a minute that has ended. */
  take (now: number): readonly Entitlement[] {
    if (now < this.begin + MINUTE) return []
    const usages = [...this.usage.values()]
    this.begin = now
    this.usage = new Map()
    if (!usages.some(({ waited }) => waited)) return []
    const entitled = splitEntitlements(usages)
    return usages.map(({ caller, service, got }, i) => ({ caller, service, got, entitled: entitled[i]! }))
  }

  /** A caller that asks for several services of a pool has its share once, and is counted under the first it asked for. */
  private read (holder: Holder): Usage {
    const known = this.usage.get(holder.caller) ?? { ...holder, got: 0, waited: false }
    this.usage.set(holder.caller, known)
    return known
  }
}
