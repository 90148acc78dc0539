import { firstEventShare } from '../first-event-share.js'
import type { Pace } from './pace.js'

/** Time constant with which intervals lose weight, ms: a server that is slow for some hundred ms keeps its pace. */
const DECAY = 2_000
/** Time without a new interval after which a server's pace is unknown, ms. */
const TTL = 2_000
/** Fewest intervals of a server by which it is judged. */
const MIN_INTERVALS = 6
/** Fewest servers of a group with recent intervals; with fewer, none is called too slow. */
const MIN_SERVERS = 3
/** Ratio to the median interval from which an answer that begins at once comes late: a usual one takes `firstEventShare` of its target. */
const TOO_SLOW = 1 / firstEventShare
/** How long a computed comparison is used, ms. */
const COMPARE_PERIOD = 100

interface Intervals { readonly count: number, readonly time: number, readonly at: number }

/**
 * The pace of the servers of one group, by the intervals between events that all daemons report. Intervals depend little on prompts and
 * queues. A daemon that is short of processor time sees the events of all its servers late, which changes their ratios little.
 *
 * A server that fails requests, or is silent, has no intervals: that is judged by `OutlierDetector`.
 *
 * @example
 * const paces = new ServerPaces()
 * paces.record('i-1', { count: 18, mean: 33 }, clock.now())
 * paces.find('i-1', clock.now()) // 'usual'
 */
export class ServerPaces {
  private readonly intervals = new Map<string, Intervals>()
  private readonly paces = new Map<string, Pace>()
  private comparedAt = -Infinity

  /** Records `count` intervals of `mean` ms at the server. */
  record (server: string, { count, mean }: { readonly count: number, readonly mean: number }, now: number): void {
    if (!(count > 0 && mean > 0)) return
    const before = this.intervals.get(server)
    const weight = before === undefined ? 0 : Math.exp(-(now - before.at) / DECAY)
    this.intervals.set(server, { count: (before?.count ?? 0) * weight + count, time: (before?.time ?? 0) * weight + count * mean, at: now })
  }

  /** Returns the server's pace; a server without recent intervals is usual, or to be probed if it was too slow before. */
  find (server: string, now: number): Pace {
    if (now >= this.comparedAt + COMPARE_PERIOD) this.compare(now)
    return this.paces.get(server) ?? 'usual'
  }

  /** Returns the mean interval between events, ms, and its age; undefined if it isn't known. */
  read (server: string, now: number): { readonly interval: number, readonly age: number } | undefined {
    const known = this.intervals.get(server)
    return known === undefined ? undefined : { interval: known.time / known.count, age: now - known.at }
  }

  /** Forgets a server that has started again or left the group. */
  forget (server: string): void {
    this.intervals.delete(server)
    this.paces.delete(server)
  }

  /** Lists the servers of which anything is known. */
  get servers (): Iterable<string> {
    return this.intervals.keys()
  }

  private compare (now: number): void {
    this.comparedAt = now
    const known = [...this.intervals].filter(([, { count, at }]) => count >= MIN_INTERVALS && now < at + TTL)
    const means = known.map(([server, { count, time }]) => [server, time / count] as const)
    const median = findMedian(means.map(([, mean]) => mean))
    const before = new Map(this.paces)
    this.paces.clear()
    for (const [server, pace] of before) if (pace === 'too slow' || pace === 'to be probed') this.paces.set(server, 'to be probed')
    if (known.length < MIN_SERVERS) return
    for (const [server, mean] of means) this.paces.set(server, mean >= TOO_SLOW * median ? 'too slow' : 'usual')
  }
}

function findMedian (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 0
}
