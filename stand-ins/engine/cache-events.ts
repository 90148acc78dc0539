import type { Random } from '../../src/kernel/random.js'

const MAX_EVENTS = 10_000

interface CacheEvent { readonly number: number, readonly at: number, readonly type: 'stored' | 'removed', readonly block: number }

/** Cache events as the engine publishes them: `lag` ms late, and a share of them lost. */
export class CacheEvents {
  private readonly events: CacheEvent[] = []
  private next = 1

  constructor (private readonly lag: number, private readonly lossShare: number, private readonly random: Random) {}

  record (type: 'stored' | 'removed', block: number, at: number): void {
    const number = this.next++
    if (this.random.next() < this.lossShare) return
    this.events.push({ number, at, type, block })
    if (this.events.length > MAX_EVENTS) this.events.shift()
  }

  /** Lists the events after number `after` that are published by `now`; a jump in the numbers shows lost events. */
  list (after: number, now: number): readonly CacheEvent[] {
    return this.events.filter(({ number, at }) => number > after && at + this.lag <= now)
  }
}
