import type { ObjectStore } from '../platform/object-store.js'
import { accountLimits } from './account-limits.js'
import type { AccountPart } from './account-part.js'
import type { AccountRows } from './account-rows.js'
import { addRows } from './add-rows.js'
import { showDay } from './show-day.js'

const KIND = 'account'

interface AccountWriterOptions {
  readonly store: ObjectStore
  readonly instance: string
  /** Wall-clock start of the run, ms. */
  readonly started: number
}

/** The counts of one run at one moment. */
interface Sample { readonly rows: AccountRows, readonly askedOnline: number, readonly date: number }

/**
 * Writes one run's counts to the platform, as one object that only this run writes. Where the object is gone, because
 * others took the run for dead and folded it into its day, the run goes on in a new part with what it has counted
 * since: writing the whole again would count the folded part twice.
 */
export class AccountWriter {
  private number = 0
  private version = 0
  /** What earlier parts hold, and what this one held when it was written last. */
  private earlier: AccountRows = {}
  private flushed: AccountRows = {}
  private last: { askedOnline: number, date: number }
  private highestRate = 0
  private longestGap = 0

  constructor (private readonly options: AccountWriterOptions) {
    this.last = { askedOnline: 0, date: options.started }
  }

  /** Writes what has been counted; says whether it is in the platform. */
  async flush ({ rows, askedOnline, date }: Sample, closed = false): Promise<boolean> {
    const own = addRows(rows, this.earlier, -1)
    const time = Math.max(1, date - this.last.date)
    const highestRate = Math.max(this.highestRate, (askedOnline - this.last.askedOnline) * 1_000 / time)
    const longestGap = Math.max(this.longestGap, time)
    const ends = closed || Object.keys(own).length >= accountLimits.rows || showDay(date) !== showDay(this.last.date)
    const { store, instance, started } = this.options
    const part: AccountPart = { instance, started, flushedAt: date, closed: ends, highestRate, longestGap, rows: own }
    const written = await store.put(KIND, this.name, part, this.version, 'background')
    if (written.err) {
      if (written.val.type === 'conflict' || written.val.type === 'missing') await this.find()
      return false
    }
    Object.assign(this, { version: written.val.version, flushed: own, last: { askedOnline, date }, highestRate, longestGap })
    if (ends) this.begin()
    return true
  }

  private get name (): string {
    return `${this.options.instance}.${this.options.started}.${this.number}`
  }

  /** Goes on from the object as it is: a write whose reply was lost, or none. */
  private async find (): Promise<void> {
    const found = await this.options.store.get<AccountPart>(KIND, this.name)
    if (found.ok) {
      this.version = found.val.version
      this.flushed = found.val.value.rows
      if (found.val.value.closed) this.begin()
    } else if (found.val.type === 'missing') this.begin()
  }

  private begin (): void {
    this.earlier = addRows(this.earlier, this.flushed)
    this.flushed = {}
    this.number++
    this.version = 0
  }
}
