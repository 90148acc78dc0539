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
const RETRY_PERIOD = 1_000
const MAX_UNSETTLED = 1_000
const STOP_TIMEOUT = 5_000
/** How long after its call a write can still take effect, ms. */
const LATE_WRITE_TIME = 10_000

/** What a claim ends as; `release`: nothing was sent, and the key is free again. */
type Settlement = Exclude<KeyedClaim['outcome'], { readonly type: 'open' }> | 'release'

/** A claim that this process created, and the version at which it was seen to stand. */
interface StoredClaim { readonly name: string, readonly claim: KeyedClaim, readonly version: number }

/**
 * What is still to be recorded. A claim of version 0 was never seen to stand, and may come to stand until `expected`,
 * in monotonic ms, because a slow write took effect late.
 */
interface Unsettled extends StoredClaim { readonly settlement: Settlement, readonly mayAppearUntil?: number }

/**
 * The claims of keyed requests at the platform. A claim is created once and changed only under its id; what can't be
 * recorded now, because the platform is down, is tried again until it is.
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
   * Waits for what is still to be recorded, at most 5 s: claims left open then end as unknown. Not in `drain`, because
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
   * Creates a claim, or replaces the one at `version`. When the reply is lost, reading back tells by the claim's id
   * whether it was created. An error means that the request must not be sent; a claim that came to stand all the
   * same, because a slow write took effect late, is released in the background.
   *
   * A lost write that met another's claim is a `conflict`, although the store can't tell whether ours stood before it:
   * what stands now isn't ours, so that nothing is sent, and the caller gets the other claim's outcome. Without this a
   * key that was answered long ago was refused whenever the reply to the second claim was lost.
   */
  async create (name: string, claim: KeyedClaim, version: number): Promise<Result<StoredClaim, StoreError>> {
    const written = await this.store.put(KIND, name, claim, version, 'caller')
    if (written.ok) return Ok({ name, claim, version: written.val.version })
    if (written.val.type === 'unknown' || written.val.type === 'unavailable') {
      const read = await this.read(name)
      if (read.ok && read.val.value.id === claim.id) return Ok({ name, claim, version: read.val.version })
      // Another claim stands at a version that ours wasn't based on: ours can't come to stand any more.
      if (read.ok && read.val.version !== version) return Err({ type: 'conflict', version: read.val.version })
      this.addUnsettled({ name, claim, version: 0, settlement: 'release', mayAppearUntil: this.clock.now() + LATE_WRITE_TIME })
      if (read.ok) return Err({ type: 'conflict', version: read.val.version })
    }
    return Err(written.val)
  }

  /**
   * Records how it ended, or releases it because nothing was sent; now or, if the platform is down, later. True only
   * once that is on record, or the claim has been seen to be no longer this one.
   */
  async settle (claim: StoredClaim, settlement: Settlement): Promise<boolean> {
    const settled = await this.settleNow({ ...claim, settlement })
    if (!settled) this.addUnsettled({ ...claim, settlement })
    return settled
  }

  /** Ends a claim whose holder is gone as unknown, unless it changed meanwhile. */
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

  /** Whether no more is to be done. Where the claim is known to stand, no read is needed unless somebody changed it. */
  private async settleNow (entry: Unsettled): Promise<boolean> {
    if (entry.version === 0) return await this.settleAfterRead(entry)
    const written = await this.write(entry)
    if (written.ok) return true
    return written.val.type === 'conflict' && await this.settleAfterRead({ ...entry, version: written.val.version })
  }

  /**
   * Reads what stands and settles it, unless it belongs to another request by now.
   *
   * Safeguard: the platform gives old reads. One from before the claim was created says that it is missing, or shows
   * an earlier one. Taken for settled, the claim stayed open; its holder forgot that it had sent, took it for one that
   * it never sent, and ran the booking a second time. A read below the version that is known to stand tells
   * nothing, and is repeated later.
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
