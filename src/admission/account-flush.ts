import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Members } from '../peers/members.js'
import type { ObjectStore } from '../store/object-store.js'
import type { AccountPart } from './account-part.js'
import { Account } from './account.js'
import { AccountWriter } from './account-writer.js'

/** How often it is looked whether a flush is due, ms. */
const CHECK_PERIOD = 1_000

/**
 * Flushes the account: at the end of each period with something to tell, at once after many requests, and at the
 * end. A daemon that is killed takes with it what it counted since: without the second bound that would be a whole
 * period of the busiest moment.
 */
@scoped(Lifecycle.ContainerScoped)
export class AccountFlush implements Part {
  private readonly writer: AccountWriter
  private flushedAsked = 0
  /** Monotonic ms before which none is due, but for many requests or the end. */
  private dueAt: number
  /** Monotonic ms before which a failed one isn't tried again. */
  private retryAt = 0
  private last: Promise<boolean> = Promise.resolve(true)
  private running = false
  private cancel = (): void => {}

  constructor (
    @inject(Account) private readonly account: Account,
    @inject(tokens.store) store: ObjectStore,
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(Members) private readonly members: Members
  ) {
    this.writer = new AccountWriter({ store, instance: settings.instance, started: clock.date() })
    this.dueAt = clock.now() + this.writer.due.period
    account.subscribe(() => { if (account.askedOnline - this.flushedAsked >= this.writer.due.lead) this.startFlush() })
  }

  /** The run is known to the platform before it counts: one that was killed before its first flush would leave no trace. */
  async start (): Promise<void> {
    await this.flush(false)
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
    await this.flush(true)
  }

  /** The parts of this run as they would be written now, but for rows that are in the platform; after a flush under way. */
  async peek (): Promise<Readonly<Record<string, AccountPart>>> {
    while (this.running) await this.last
    return this.writer.peek(this.account.readSample(this.clock.date()))
  }

  /** The end of the day is kept here and written at the usual time: all daemons at once would be a burst at the platform. */
  private check (): void {
    const date = this.clock.date()
    if (this.writer.isDayOver(date)) this.writer.endDay(this.account.readSample(date))
    if (this.clock.now() >= this.dueAt) this.startFlush()
  }

  private startFlush (): void {
    if (!this.running && this.clock.now() >= this.retryAt) void this.flush(false)
  }

  /** One after the other: each is a conditional update on the one before. */
  private async flush (closed: boolean): Promise<boolean> {
    this.last = this.last.then(async () => await this.write(closed))
    return await this.last
  }

  private async write (closed: boolean): Promise<boolean> {
    this.running = true
    this.writer.setDaemons(this.members.all().length)
    const sample = this.account.readSample(this.clock.date())
    const written = await this.writer.flush(sample, closed)
    this.running = false
    if (written) this.flushedAsked = sample.askedOnline
    const now = this.clock.now()
    this.retryAt = written ? 0 : now + CHECK_PERIOD
    this.dueAt = written ? now + this.writer.due.period : this.retryAt
    return written
  }
}

partRegistry.register({ name: 'account flush', part: AccountFlush, needs: ['members'] })
