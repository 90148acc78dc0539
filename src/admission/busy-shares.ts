import { splitEntitlements } from './split-entitlements.js'

interface Held { readonly caller: string, readonly service: string, readonly share: number }

/** What a caller got of a busy minute, and what it was entitled to, ms of server time. */
interface Shared { readonly caller: string, readonly service: string, readonly got: number, readonly entitled: number }

interface Had extends Held { got: number, waited: boolean }

const MINUTE = 60_000

/**
 * Compares, for the minutes in which requests of a pool waited at this daemon, what each caller got with what its share
 * entitled it to. Minutes in which nobody waited say nothing about shares and are left out.
 */
export class BusyShares {
  private had = new Map<string, Had>()
  private begin: number

  constructor (now: number) {
    this.begin = now
  }

  /** A place was held for `time` ms. */
  record (held: Held, time: number): void {
    this.read(held).got += time
  }

  /** A request had to wait. */
  recordWait (held: Held): void {
    this.read(held).waited = true
  }

  /** What is to be counted of a minute that has ended. */
  take (now: number): readonly Shared[] {
    if (now < this.begin + MINUTE) return []
    const had = [...this.had.values()]
    this.begin = now
    this.had = new Map()
    if (!had.some(({ waited }) => waited)) return []
    const entitled = splitEntitlements(had)
    return had.map(({ caller, service, got }, i) => ({ caller, service, got, entitled: entitled[i]! }))
  }

  /** A caller that asks for several services of a pool has its share once, and is counted under the first it asked for. */
  private read (held: Held): Had {
    const known = this.had.get(held.caller) ?? { ...held, got: 0, waited: false }
    this.had.set(held.caller, known)
    return known
  }
}
