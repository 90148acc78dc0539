import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Part } from '../../kernel/part.js'
import { partRegistry } from '../../kernel/part-registry.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import { Members } from '../../peers/members.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { AccountPart } from './account-part.js'
import { Account } from './account.js'
import { AccountWriter } from './account-writer.js'

/** Period of the checks whether a flush is due, ms. */
const CHECK_PERIOD = 1_000

/**
 * Flushes the account to the platform: periodically, early after many online requests, and at the end. A daemon that is killed
 * loses what it counted since its last flush; the limit on requests bounds that loss at peak load.
 */
@scoped(Lifecycle.ContainerScoped)
export class AccountFlush implements Part {
  private readonly writer: AccountWriter
  private flushedAsked = 0
  /** Monotonic ms at which the next periodic flush is due. */
  private dueAt: number
  /** Monotonic ms before which a failed flush is not retried. */
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

  /**
   * Writes the first part of the run before anything is counted: a run that is killed before its first flush would otherwise
   * leave no trace.
   */
  async start (): Promise<void> {
    await this.flush(false)
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
    await this.flush(true)
  }

  /**
   * Returns the parts of this run as they would be written now, without rows that the platform already has. Waits for a flush
   * in progress.
   */
  async peek (): Promise<Readonly<Record<string, AccountPart>>> {
    while (this.running) await this.last
    return this.writer.peek(this.account.readSample(this.clock.date()))
  }

  /**
   * Keeps the sample at the end of the day, and writes it with the next periodic flush: flushes of all daemons at midnight
   * would be a burst for the platform.
   */
  private check (): void {
    const date = this.clock.date()
    if (this.writer.isDayOver(date)) this.writer.endDay(this.account.readSample(date))
    if (this.clock.now() >= this.dueAt) this.startFlush()
  }

  private startFlush (): void {
    if (!this.running && this.clock.now() >= this.retryAt) void this.flush(false)
  }

  /** Runs flushes one after another: each is a conditional update of the one before. */
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
