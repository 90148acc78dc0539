import { inject, Lifecycle, scoped } from 'tsyringe'
import { Err, Ok, type Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import { Metrics } from '../observe/metrics.js'
import type { ObjectStore } from '../platform/object-store.js'
import type { StoreError } from '../platform/store-error.js'
import type { StoredObject } from '../platform/stored-object.js'
import type { KeyedClaim } from './keyed-claim.js'

const KIND = 'keyed'
const RETRY_PERIOD = 1_000
const MAX_UNSETTLED = 1_000
const DRAIN_BOUND = 5_000
/** How long after its call a write can still take effect, ms. */
const LATE_WRITE = 10_000

type Settlement = Exclude<KeyedClaim['outcome'], { readonly type: 'open' }> | 'release'

/** `expected`: monotonic ms until which a claim that isn't there may still come to stand. */
interface Unsettled { readonly name: string, readonly id: string, readonly settlement: Settlement, readonly expected?: number }

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
    const end = this.clock.now() + DRAIN_BOUND
    while (this.unsettled.length > 0 && this.clock.now() < end) {
      await this.settleAll()
      if (this.unsettled.length > 0) await new Promise<void>(resolve => { this.clock.after(RETRY_PERIOD / 4, resolve) })
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
  async create (name: string, claim: KeyedClaim, version: number): Promise<Result<void, StoreError>> {
    const written = await this.store.put(KIND, name, claim, version, 'caller')
    if (written.ok) return Ok(undefined)
    if (written.val.type === 'unknown' || written.val.type === 'unavailable') {
      const read = await this.read(name)
      if (read.ok && read.val.value.id === claim.id) return Ok(undefined)
      // Another claim stands at a version that ours wasn't based on: ours can't come to stand any more.
      if (read.ok && read.val.version !== version) return Err({ type: 'conflict', version: read.val.version })
      this.addUnsettled({ name, id: claim.id, settlement: 'release', expected: this.clock.now() + LATE_WRITE })
      if (read.ok) return Err({ type: 'conflict', version: read.val.version })
    }
    return Err(written.val)
  }

  /** Records how it ended, or releases it because nothing was sent; now or, if the platform is down, later. Says which. */
  async settle (name: string, id: string, settlement: Settlement): Promise<boolean> {
    const settled = await this.settleNow({ name, id, settlement })
    if (!settled) this.addUnsettled({ name, id, settlement })
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

  /** Whether no more is to be done. A claim that is no longer of this id belongs to another request. */
  private async settleNow ({ name, id, settlement, expected = 0 }: Unsettled): Promise<boolean> {
    const read = await this.read(name)
    if (read.err) return read.val.type === 'missing' && this.clock.now() >= expected
    const { version, value } = read.val
    if (value.id !== id || value.outcome.type === 'answered') return true
    const done: Result<unknown, StoreError> = settlement === 'release'
      ? await this.store.delete(KIND, name, version, 'caller')
      : await this.store.put<KeyedClaim>(KIND, name, { ...value, outcome: settlement }, version, 'caller')
    if (done.err) this.metrics.count('keyed_settle_failures_total')
    return done.ok
  }
}

partRegistry.register({ name: 'keyed claims', part: KeyedClaims })
