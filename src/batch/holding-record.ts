import { Ok, type Result } from 'ts-results'
import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Incarnation } from '../kernel/incarnation.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { Holding } from './holding.js'

const LEASE_LENGTH = 60_000
const RENEW_PERIOD = 15_000

/**
 * Keeps this daemon's `holding` object: what it holds, and until when others leave that alone. Nothing is claimed
 * before it is listed there, so that whoever finds this daemon dead finds all of its chunks with one read.
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

  /** Takes chunks out; the object follows with its next write, since a chunk that isn't held does no harm there. */
  remove (names: readonly string[]): void {
    for (const name of names) this.chunks.delete(name)
  }

  /** Writes at once what is held now, as when the daemon ends. */
  async write (): Promise<Result<void, StoreError>> {
    const write = this.writing.then(async () => await this.put())
    this.writing = write
    return await write
  }

  /** After a conflict or a lost reply the object is read: only this daemon writes it, so its version is the one to use. */
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
