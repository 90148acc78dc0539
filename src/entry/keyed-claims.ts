import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import { tokens } from '../kernel/tokens.js'
import { Metrics } from '../observe/metrics.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { StoredObject } from '../store/stored-object.js'
import type { KeyedClaim } from './keyed-claim.js'

const KIND = 'keyed'
const RETRY_PERIOD = 1_000 // ms
const MAX_UNSETTLED = 1_000
const STOP_TIMEOUT = 5_000 // ms
/** How long after its call a write may still take effect, ms. */
const LATE_WRITE_TIME = 10_000

/** The final outcome of a claim; `release` frees the key because nothing was sent. */
type Settlement = Exclude<KeyedClaim['outcome'], { readonly type: 'open' }> | 'release'

/** A claim that this process created, with the version at which it is stored. */
interface StoredClaim { readonly name: string, readonly claim: KeyedClaim, readonly version: number }

/**
 * A claim whose outcome is still to be recorded. At version 0 the claim was never read back; a delayed write may still create it until
 * `mayAppearUntil`, monotonic ms.
 */
interface Unsettled extends StoredClaim { readonly settlement: Settlement, readonly mayAppearUntil?: number }

/**
 * Stores the claims of keyed requests at the platform. A claim is created once and changed only under its id. Outcomes that can't be recorded
 * during a platform outage are retried.
 */
@scoped(Lifecycle.ContainerScoped)
export class KeyedClaims implements Part {
  private unsettled: readonly Unsettled[] = []
  private cancel = (): void => {}

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(Metrics) private readonly metrics: Metrics
  ) {
    metrics.gauge('keyed_unsettled', () => this.unsettled.length)
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(RETRY_PERIOD, () => { void this.settleAll() })
  }

  /**
   * Waits up to 5 s for the outcomes still to be recorded; claims left open after that end as unknown. This can't be part of `drain`, because
   * requests still end while the parts drain.
   */
  async stop (): Promise<void> {
    this.cancel()
    const end = this.clock.now() + STOP_TIMEOUT
    while (this.unsettled.length > 0 && this.clock.now() < end) {
      await this.settleAll()
      if (this.unsettled.length > 0) await pauseFor(this.clock, RETRY_PERIOD / 4)
    }
  }

  async read (name: string): Promise<Result<StoredObject<KeyedClaim>, StoreError>> {
    return await this.store.get<KeyedClaim>(KIND, name, 'caller')
  }

  /**
   * Creates a claim, or replaces the one at `version`. When the reply is lost, the claim's id tells on reading it back whether it was created.
   * After an error the request must not be sent; if a delayed write creates the claim after all, it is released in the background.
   *
   * A lost write that finds another daemon's claim is a `conflict`, even though the store can't tell whether this one existed before: nothing
   * is sent, and the caller gets the outcome of the other claim.
   */
  async create (name: string, claim: KeyedClaim, version: number): Promise<Result<StoredClaim, StoreError>> {
    const written = await this.store.put(KIND, name, claim, version, 'caller')
    if (written.ok) return Ok({ name, claim, version: written.val.version })
    if (written.val.type === 'unknown' || written.val.type === 'unavailable') {
      const read = await this.read(name)
      if (read.ok && read.val.value.id === claim.id) return Ok({ name, claim, version: read.val.version })
      // Another claim is stored at a version that this write wasn't based on, so it can no longer take effect.
      if (read.ok && read.val.version !== version) return Err({ type: 'conflict', version: read.val.version })
      this.addUnsettled({ name, claim, version: 0, settlement: 'release', mayAppearUntil: this.clock.now() + LATE_WRITE_TIME })
      if (read.ok) return Err({ type: 'conflict', version: read.val.version })
    }
    return Err(written.val)
  }

  /**
   * Records the outcome of a claim or releases it, now or, if the platform is down, later. Returns true only once that is recorded or another
   * claim has replaced this one.
   */
  async settle (claim: StoredClaim, settlement: Settlement): Promise<boolean> {
    const settled = await this.settleNow({ ...claim, settlement })
    if (!settled) this.addUnsettled({ ...claim, settlement })
    return settled
  }

  /** Ends a claim whose holder has ended as unknown, unless it has changed meanwhile. Returns whether it did. */
  async endAsUnknown ({ name, version, value }: StoredObject<KeyedClaim>): Promise<boolean> {
    const ended = await this.store.put(KIND, name, { ...value, outcome: { type: 'unknown', cause: 'the daemon that sent it is gone' } }, version, 'caller')
    return ended.ok
  }

  private addUnsettled (entry: Unsettled): void {
    this.unsettled = [...this.unsettled, entry].slice(-MAX_UNSETTLED)
  }

  private async settleAll (): Promise<void> {
    const entries = this.unsettled
    const settled = await Promise.all(entries.slice(0, 20).map(async entry => await this.settleNow(entry) ? [entry] : []))
    this.unsettled = this.unsettled.filter(entry => !settled.flat().includes(entry))
  }

  /** Returns whether the claim is settled. A claim known to be stored is read only if another write has changed it. */
  private async settleNow (entry: Unsettled): Promise<boolean> {
    if (entry.version === 0) return await this.settleAfterRead(entry)
    const written = await this.write(entry)
    if (written.ok) return true
    return written.val.type === 'conflict' && await this.settleAfterRead({ ...entry, version: written.val.version })
  }

  /**
   * Reads the stored claim and settles it, unless it belongs to another request by now.
   *
   * The platform may return stale reads: one from before the claim was created reports it as missing or returns an earlier claim. If that
   * counted as settled, the claim would stay open, its holder would drop the record that it has sent the request, and the request could run
   * twice. A read older than the known version therefore counts for nothing and is repeated later.
   */
  private async settleAfterRead (entry: Unsettled): Promise<boolean> {
    const read = await this.read(entry.name)
    if (read.err) return read.val.type === 'missing' && entry.version === 0 && this.clock.now() >= (entry.mayAppearUntil ?? 0)
    const { version, value } = read.val
    if (version < entry.version) return false
    if (value.id !== entry.claim.id || value.outcome.type === 'answered') return true
    return (await this.write({ ...entry, version })).ok
  }

  private async write ({ name, claim, version, settlement }: Unsettled): Promise<Result<unknown, StoreError>> {
    const done: Result<unknown, StoreError> = settlement === 'release'
      ? await this.store.delete(KIND, name, version, 'caller')
      : await this.store.put<KeyedClaim>(KIND, name, { ...claim, outcome: settlement }, version, 'caller')
    if (done.err) this.metrics.count('keyed_settle_failures_total')
    return done
  }
}

partRegistry.register({ name: 'keyed claims', part: KeyedClaims })
