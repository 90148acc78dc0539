import { Err, Ok, type Result } from 'ts-results'
import type { StoreError } from '../../store/store-error.js'
import type { StoredObject } from '../../store/stored-object.js'
import type { LeaseError } from './lease-error.js'
import type { LeaseOptions } from './lease-options.js'
import type { LeaseValue } from './lease-value.js'

/** Allows for three failed renewals, at one every 2.5 s. */
const DEFAULT_DURATION = 10_000
/** Share of the duration that a contender waits in addition, for clocks that run at different rates. */
const RATE_SLACK = 0.1

interface Held { readonly version: number, readonly fencing: number, readonly until: number }

/**
 * A lease with a fencing number, on a store with conditional updates. At most one holder has `check` return true at a
 * time, if clock rates differ by at most 10 %; wall clocks need not agree. The fencing number is the version of the
 * write that took the lease. It grows with every holder, so that a target that checks it refuses the orders of earlier
 * holders.
 *
 * A holder that is paused past its lease must not act when it resumes. `check` therefore compares the clock with the
 * time at which the last renewal was sent, without I/O, and is false from the first instruction after the pause. A
 * contender counts from when it first read the version, which is later.
 *
 * Source: Gray and Cheriton, "Leases", 1989; the fencing number after Burrows' "sequencer" in "Chubby", 2006.
 *
 * @example
 * const lease = new Lease({ store, clock, name: 'engine-4', holder: 'entry-0/1764700000000' })
 * const taken = await lease.take()
 * if (taken.ok && lease.check()) order(server, { fencing: taken.val })
 */
export class Lease {
  private held: Held | undefined
  /** The version of another holder's lease, and since when this one has seen it. */
  private seen = { version: -1, since: 0 }

  constructor (private readonly options: LeaseOptions) {}

  /** Whether the lease is held now, by this process's clock alone. */
  check (): boolean {
    return this.held !== undefined && this.options.clock.now() < this.held.until
  }

  /** The fencing number, undefined while the lease isn't held. */
  get fencing (): number | undefined {
    return this.check() ? this.held!.fencing : undefined
  }

  /**
   * Takes the lease if it is free, released, expired or this holder's own, and returns its fencing number. Errors:
   * `held` while another holder has it, `store`, `lost` if another holder wrote first. A write whose reply was lost
   * leaves this holder's value, and the next `take` takes it over under a new fencing number.
   */
  async take (): Promise<Result<number, LeaseError>> {
    if (this.check()) return Ok(this.held!.fencing)
    this.held = undefined
    const read = await this.options.store.get<LeaseValue>(this.kind, this.options.name)
    if (read.err && read.val.type !== 'missing') return Err({ type: 'store', error: read.val })
    const present = read.ok ? read.val : undefined
    const wait = present === undefined ? 0 : this.estimateWait(present)
    if (wait > 0) return Err({ type: 'held', by: present!.value.holder, wait })
    return await this.write(present?.version ?? 0)
  }

  /** Renews the lease under the same fencing number. Errors: `lost` (also if it had already expired), `store`. */
  async renew (): Promise<Result<number, LeaseError>> {
    if (!this.check()) {
      this.held = undefined
      return Err({ type: 'lost' })
    }
    return await this.write(this.held!.version, this.held!.fencing)
  }

  /** Releases the lease, so that another holder can take it at once. If the write fails, the lease expires. */
  async release (): Promise<void> {
    const held = this.held
    this.held = undefined
    if (held !== undefined) await this.put(held.version, 0)
  }

  private get kind (): string {
    return this.options.kind ?? 'lease'
  }

  private get duration (): number {
    return this.options.duration ?? DEFAULT_DURATION
  }

  /** Returns the time until the present holder's lease has certainly expired, in ms. */
  private estimateWait ({ version, value }: StoredObject<LeaseValue>): number {
    if (value.holder === this.options.holder || value.duration === 0) return 0
    const now = this.options.clock.now()
    if (this.seen.version !== version) this.seen = { version, since: now }
    return Math.max(0, this.seen.since + value.duration * (1 + RATE_SLACK) - now)
  }

  private async write (version: number, fencing?: number): Promise<Result<number, LeaseError>> {
    const sent = this.options.clock.now()
    const written = await this.put(version, this.duration)
    if (written.err) {
      if (written.val.type !== 'conflict') return Err({ type: 'store', error: written.val })
      this.held = undefined
      return Err({ type: 'lost' })
    }
    this.held = { version: written.val.version, fencing: fencing ?? written.val.version, until: sent + this.duration }
    return this.check() ? Ok(this.held.fencing) : Err({ type: 'lost' })
  }

  private async put (version: number, duration: number): Promise<Result<StoredObject<LeaseValue>, StoreError>> {
    return await this.options.store.put(this.kind, this.options.name, { holder: this.options.holder, duration }, version)
  }
}
