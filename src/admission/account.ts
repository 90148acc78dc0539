import { Lifecycle, scoped } from 'tsyringe'
import { failUnreachable } from '../kernel/unreachable.js'
import type { AccountEntry } from './account-entry.js'
import type { AccountRows } from './account-rows.js'

interface Counts { asked: number, answered: number, refused: Record<string, number>, failed: Record<string, number>, tokens: number, waited: number }

/** What each caller asked for, got and was refused at this daemon since it started, by service and kind of work. */
@scoped(Lifecycle.ContainerScoped)
export class Account {
  /** Online requests asked for since the start. */
  askedOnline = 0
  private readonly rows = new Map<string, Counts>()
  private readonly listeners = new Set<() => void>()

  count (caller: string, service: string, work: 'online' | 'batch', entry: AccountEntry): void {
    const counts = this.readRow(`${caller}/${service}/${work}`)
    switch (entry.type) {
      case 'asked': counts.asked++; break
      case 'answered': counts.answered++; counts.tokens += entry.tokens; break
      case 'refused': counts.refused[entry.cause] = (counts.refused[entry.cause] ?? 0) + 1; break
      case 'failed': counts.failed[entry.cause] = (counts.failed[entry.cause] ?? 0) + 1; break
      case 'waited': counts.waited += entry.time; break
      default: failUnreachable(entry)
    }
    if (work === 'online' && entry.type === 'asked') {
      this.askedOnline++
      for (const listener of this.listeners) listener()
    }
  }

  /** A copy of all counts. */
  read (): AccountRows {
    return structuredClone(Object.fromEntries(this.rows))
  }

  /** Calls `listener` at each online request that is asked for. */
  subscribe (listener: () => void): void {
    this.listeners.add(listener)
  }

  private readRow (key: string): Counts {
    const known = this.rows.get(key)
    if (known !== undefined) return known
    const counts = { asked: 0, answered: 0, refused: {}, failed: {}, tokens: 0, waited: 0 }
    this.rows.set(key, counts)
    return counts
  }
}
