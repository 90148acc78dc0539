import type { ObjectStore } from '../store/object-store.js'
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
 * Writes one run's counts to the platform, as one object that only this run adds to. Where the object is closed or gone,
 * because others took the run for dead and folded it into its day, the run goes on in a new part with what it has counted
 * since: writing the whole again would count the folded part twice.
 */
export class AccountWriter {
  private number = 0
  private version = 0
  private samples = 0
  private day: string
  /** The first sample taken after the part's day had ended: all that the part will hold. */
  private dayEndSample?: AccountSample
  /** What earlier parts hold, and what this one held when it was written last. */
  private earlier = emptyCounts
  private flushed = emptyCounts
  /** What was written since and may be there: no reply has come. */
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
   * Whether the day has ended and no sample was taken since. The next sample ends the part, also if its write is held
   * up by an outage: with a later one, what was counted since midnight would stand on the day before.
   */
  isDayOver (date: number): boolean {
    return this.dayEndSample === undefined && formatDay(date) > this.day
  }

  /** Keeps the sample with which the part's day ends. */
  endDay (sample: AccountSample): void {
    if (this.isDayOver(sample.date)) this.dayEndSample = sample
  }

  /** When the next flush is due: what the part that was written last says. */
  get due (): Readonly<ReturnType<typeof planFlush>> {
    return this.plan
  }

  /** Takes the number of daemons into account from the next flush on. */
  setDaemons (daemons: number): void {
    this.nextPlan = planFlush(daemons)
  }

  /** Writes what has been counted; says whether it is in the platform. */
  async flush (sample: AccountSample, closed = false): Promise<boolean> {
    if (this.unconfirmed.length > 0 && !await this.recover(this.dayEndSample ?? sample)) return false
    this.endDay(sample)
    if (this.dayEndSample === undefined) return await this.write(sample, closed)
    return await this.write(this.dayEndSample, true) && await this.flush(sample, closed)
  }

  /**
   * The parts as they would be written now, by name, but for rows that are in the platform as they are. Not to be
   * called during a flush: a part that is closed by it would be told with what goes into the next.
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

  /** Goes on from the object as it is: a write whose reply was lost, or none. Says whether that is known. */
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
   * Where the object is gone. Its day says which state was folded: a write whose reply was lost may have been that, and
   * were it taken for lost, the next part would hold the same counts.
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
