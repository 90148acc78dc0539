import { Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Incarnation } from '../../kernel/incarnation.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { Holding } from './holding.js'

/** ms from a write of the `holding` object until the lease expires. */
const LEASE_LENGTH = 60_000
/** ms between renewals of the lease. */
const RENEW_PERIOD = 15_000

/**
 * Maintains this daemon's `holding` object, which lists its chunks and the end of its lease. A chunk is listed there
 * before it is claimed, so that one read finds all chunks of a dead daemon.
 */
@scoped(Lifecycle.ContainerScoped)
export class HoldingRecord implements Part {
  readonly incarnation: Incarnation
  private readonly chunks = new Set<string>()
  private version = 0
  private writing: Promise<unknown> = Promise.resolve()
  private cancelTimer = (): void => {}

  constructor (
    @inject(tokens.store) private readonly store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.settings) settings: Settings
  ) {
    this.incarnation = { instance: settings.instance, started: clock.date() }
  }

  async start (): Promise<void> {
    this.cancelTimer = this.clock.every(RENEW_PERIOD, () => {
      if (this.chunks.size > 0) void this.write()
    })
  }

  async stop (): Promise<void> {
    this.cancelTimer()
  }

  /** Resolves once the chunks are listed and may be claimed. */
  async add (names: readonly string[]): Promise<Result<void, StoreError>> {
    for (const name of names) this.chunks.add(name)
    const written = await this.write()
    if (written.err) this.remove(names)
    return written
  }

  /**
   * Removes chunks from the list. The object follows with its next write: a listed chunk that isn't held does no
   * harm.
   */
  remove (names: readonly string[]): void {
    for (const name of names) this.chunks.delete(name)
  }

  /** Writes the current list at once, for example before the daemon exits. */
  async write (): Promise<Result<void, StoreError>> {
    const write = this.writing.then(async () => await this.put())
    this.writing = write
    return await write
  }

  /** After a conflict or a lost reply, reads the object and retries with its version: no other daemon writes to it. */
  private async put (): Promise<Result<void, StoreError>> {
    for (let tries = 0; ; tries++) {
      const holding: Holding = { started: this.incarnation.started, until: this.clock.date() + LEASE_LENGTH, chunks: [...this.chunks] }
      const put = await this.store.put('holding', this.incarnation.instance, holding, this.version)
      if (put.ok) {
        this.version = put.val.version
        return Ok(undefined)
      }
      if (tries === 2 || put.val.type === 'limited' || put.val.type === 'invalid') return put
      const read = await this.store.get<Holding>('holding', this.incarnation.instance)
      if (read.err && read.val.type !== 'missing') return read
      this.version = read.ok ? read.val.version : 0
    }
  }
}

partRegistry.register({ name: 'holding record', part: HoldingRecord })
