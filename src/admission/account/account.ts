import { Lifecycle, scoped } from 'tsyringe'
import { failUnreachable } from '../../kernel/unreachable.js'
import type { AccountEntry } from './account-entry.js'
import type { AccountRows } from './account-rows.js'
import type { AccountSample } from './account-sample.js'
import type { AccountTimes } from './account-times.js'
import { createTimeHistogram } from './create-time-histogram.js'

interface Counts {
  asked: number
  answered: number
  tokens: number
  waited: number
  got: number
  entitled: number
  readonly refused: Record<string, number>
  readonly failed: Record<string, number>
  readonly jobs: Record<string, number>
}

/** Counts what each caller asked for, received and was refused at this daemon since it started, by service and kind of work. */
@scoped(Lifecycle.ContainerScoped)
export class Account {
  /** Number of online requests since the start. */
  askedOnline = 0
  private readonly rows = new Map<string, Counts>()
  private readonly times = new Map<string, Record<string, number>>()
  private readonly buckets = createTimeHistogram()
  private readonly listeners = new Set<() => void>()

  count (caller: string, service: string, work: 'online' | 'batch', entry: AccountEntry): void {
    const counts = this.readRow(`${caller}/${service}/${work}`)
    switch (entry.type) {
      case 'asked': counts.asked++; break
      case 'answered':
        counts.answered++
        counts.tokens += entry.tokens
        this.countTime(`${service}/first token`, entry.first)
        this.countTime(`${service}/whole answer`, entry.whole)
        break
      case 'refused': countOne(counts.refused, entry.cause); break
      case 'failed': countOne(counts.failed, entry.cause); break
      case 'waited': counts.waited += Math.round(entry.time); break
      case 'shared':
        counts.got += Math.round(entry.got)
        counts.entitled += Math.round(entry.entitled)
        break
      case 'job': countOne(counts.jobs, entry.outcome); break
      default: failUnreachable(entry)
    }
    if (work === 'online' && entry.type === 'asked') {
      this.askedOnline++
      for (const listener of this.listeners) listener()
    }
  }

  /** Returns a copy of all counts. */
  read (): AccountRows {
    return structuredClone(Object.fromEntries(this.rows))
  }

  /** Returns a copy of all times. */
  readTimes (): AccountTimes {
    return structuredClone(Object.fromEntries(this.times))
  }

  /** Returns all counts so far, stamped with the wall-clock time `date` in ms. */
  readSample (date: number): AccountSample {
    return { rows: this.read(), times: this.readTimes(), askedOnline: this.askedOnline, date }
  }

  /** Calls `listener` on each online request. */
  subscribe (listener: () => void): void {
    this.listeners.add(listener)
  }

  private countTime (key: string, time: number | undefined): void {
    if (time === undefined) return
    const tally = this.times.get(key) ?? {}
    this.times.set(key, tally)
    countOne(tally, String(this.buckets.lowestEquivalentValue(Math.max(0, Math.round(time)))))
  }

  private readRow (key: string): Counts {
    const known = this.rows.get(key)
    if (known !== undefined) return known
    const counts = { asked: 0, answered: 0, tokens: 0, waited: 0, got: 0, entitled: 0, refused: {}, failed: {}, jobs: {} }
    this.rows.set(key, counts)
    return counts
  }
}

function countOne (tally: Record<string, number>, name: string): void {
  tally[name] = (tally[name] ?? 0) + 1
}
