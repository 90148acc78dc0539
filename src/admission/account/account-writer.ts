import type { ObjectStore } from '../../store/object-store.js'
import type { AccountDay } from './account-day.js'
import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'
import type { AccountSample } from './account-sample.js'
import { addRows } from './add-rows.js'
import { addTimes } from './add-times.js'
import { filterChanged } from './filter-changed.js'
import { findShard } from './find-shard.js'
import { planFlush } from './plan-flush.js'
import { formatDay } from './format-day.js'

const KIND = 'account'
const DAY = 'account-day'

interface AccountWriterOptions {
  readonly store: ObjectStore
  readonly instance: string
  /** Wall-clock start of the run, ms. */
  readonly started: number
}

type PartCounts = Pick<AccountPart, 'rows' | 'times'>

const emptyCounts: PartCounts = { rows: {}, times: {} }

/**
 * Writes the counts of one run to the platform, as one object to which only this run adds. If other daemons considered the run
 * dead and closed the object or folded it into its day, the run continues in a new part with what it has counted since: writing
 * all counts again would count the folded part twice.
 */
export class AccountWriter {
  private number = 0
  private version = 0
  private samples = 0
  private day: string
  /** The first sample taken after the day of the part has ended: the final contents of the part. */
  private dayEndSample?: AccountSample
  /** Counts in earlier parts, and in this part when it was last written. */
  private earlier = emptyCounts
  private flushed = emptyCounts
  /** Writes since then whose replies were lost, so that any of them may be stored. */
  private unconfirmed: readonly AccountPart[] = []
  private lastFlush: { askedOnline: number, date: number }
  private plan = planFlush(1)
  private nextPlan = planFlush(1)
  private highestRate = 0
  private longestGap = 0

  constructor (private readonly options: AccountWriterOptions) {
    this.day = formatDay(options.started)
    this.lastFlush = { askedOnline: 0, date: options.started }
  }

  /**
   * Returns whether the day has ended and no sample has been taken since. The next sample completes the part, even if an outage
   * delays its write: a later one would put counts from after midnight on the day before.
   */
  isDayOver (date: number): boolean {
    return this.dayEndSample === undefined && formatDay(date) > this.day
  }

  /** Keeps the sample that completes the day of the part. */
  endDay (sample: AccountSample): void {
    if (this.isDayOver(sample.date)) this.dayEndSample = sample
  }

  /** Returns when the next flush is due, as stated in the part last written. */
  get due (): Readonly<ReturnType<typeof planFlush>> {
    return this.plan
  }

  /** Sets the number of daemons in the fleet, which takes effect with the next flush. */
  setDaemons (daemons: number): void {
    this.nextPlan = planFlush(daemons)
  }

  /** Writes the counts of `sample`. Returns whether they are in the platform. */
  async flush (sample: AccountSample, closed = false): Promise<boolean> {
    if (this.unconfirmed.length > 0 && !await this.recover(this.dayEndSample ?? sample)) return false
    this.endDay(sample)
    if (this.dayEndSample === undefined) return await this.write(sample, closed)
    return await this.write(this.dayEndSample, true) && await this.flush(sample, closed)
  }

  /**
   * Returns the parts by name as they would be written now, without rows that the platform already has. Must not be called
   * during a flush: a part that the flush closes would be reported with counts that go into the next part.
   */
  peek (sample: AccountSample): Readonly<Record<string, AccountPart>> {
    this.endDay(sample)
    const { dayEndSample } = this
    const own = this.build(dayEndSample ?? sample, dayEndSample !== undefined)
    const changed = { ...own, rows: filterChanged(own.rows, this.flushed.rows), times: filterChanged(own.times, this.flushed.times) }
    if (dayEndSample === undefined) return { [this.name]: changed }
    const rest = { ...own, ...findRemainder(sample, dayEndSample), day: formatDay(sample.date), flushedAt: sample.date, closed: false, sample: ++this.samples }
    return { [this.name]: changed, [this.getName(this.number + 1)]: rest }
  }

  private async write (sample: AccountSample, closed: boolean): Promise<boolean> {
    const part = this.build(sample, closed)
    const written = await this.options.store.put(KIND, this.name, part, this.version, 'background')
    if (written.err) {
      if (written.val.type === 'unknown') this.unconfirmed = [...this.unconfirmed, part]
      if (written.val.type === 'conflict' || written.val.type === 'missing') await this.recover(sample)
      return false
    }
    const { rows, times, period, lead, highestRate, longestGap } = part
    Object.assign(this, { version: written.val.version, flushed: { rows, times }, unconfirmed: [], lastFlush: sample, plan: { period, lead }, highestRate, longestGap })
    if (part.closed) this.beginPart(sample)
    return true
  }

  private build (sample: AccountSample, closed: boolean): AccountPart {
    const { askedOnline, date } = sample
    const { rows, times } = findRemainder(sample, this.earlier)
    const time = Math.max(1, date - this.lastFlush.date)
    return {
      instance: this.options.instance,
      started: this.options.started,
      day: this.day,
      flushedAt: date,
      sample: ++this.samples,
      ...this.nextPlan,
      closed: closed || Object.keys(rows).length >= accountLimits.maxRows,
      highestRate: Math.max(this.highestRate, (askedOnline - this.lastFlush.askedOnline) * 1_000 / time),
      longestGap: Math.max(this.longestGap, time),
      rows,
      times
    }
  }

  private get name (): string {
    return this.getName(this.number)
  }

  private getName (number: number): string {
    return `${this.options.instance}.${this.options.started}.${number}`
  }

  /** Continues from the stored object, which may include a write whose reply was lost. Returns whether its state is known. */
  private async recover (sample: AccountSample): Promise<boolean> {
    const found = await this.options.store.get<AccountPart>(KIND, this.name)
    if (found.err) return found.val.type === 'missing' && await this.recoverFolded(sample)
    const { rows, times, closed } = found.val.value
    if (found.val.version > this.version) this.unconfirmed = []
    this.version = found.val.version
    this.flushed = { rows, times }
    if (closed) this.beginPart(sample)
    return true
  }

  /**
   * Handles a missing object. Its day states which state of the part was folded, which may be a write whose reply was lost: if
   * that write were considered lost, the next part would hold the same counts again.
   */
  private async recoverFolded (sample: AccountSample): Promise<boolean> {
    if (this.unconfirmed.length > 0) {
      const day = await this.options.store.get<AccountDay>(DAY, `${this.day}.${findShard(this.name)}`)
      if (day.err && day.val.type !== 'missing') return false
      const folded = day.ok ? day.val.value.samples?.[this.name] : undefined
      if (folded === undefined && this.version === 0) return true
      const { rows, times } = this.unconfirmed.find(({ sample }) => sample === folded) ?? this.flushed
      this.flushed = { rows, times }
    }
    this.beginPart(sample)
    return true
  }

  private beginPart ({ date }: AccountSample): void {
    this.earlier = { rows: addRows(this.earlier.rows, this.flushed.rows), times: addTimes(this.earlier.times, this.flushed.times) }
    this.flushed = emptyCounts
    this.unconfirmed = []
    this.day = formatDay(date)
    this.dayEndSample = undefined
    this.number++
    this.version = 0
  }
}

function findRemainder (sample: Partial<PartCounts>, earlier: Partial<PartCounts>): PartCounts {
  return { rows: addRows(sample.rows ?? {}, earlier.rows ?? {}, -1), times: addTimes(sample.times ?? {}, earlier.times ?? {}, -1) }
}
