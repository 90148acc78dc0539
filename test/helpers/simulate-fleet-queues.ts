import { DemandMeter } from '../../src/admission/demand-meter.js'
import type { PoolAllocation } from '../../src/admission/pool-allocation.js'
import { PoolQueue } from '../../src/admission/pool-queue.js'
import { Random } from '../../src/kernel/random.js'
import { splitPool } from '../../src/admission/split-pool.js'
import { planDaemonLimit } from '../../src/routing/plan-daemon-limit.js'
import type { CallerOutcome } from './simulate-pool-queue.js'

/** A caller with a share, and its requests a second at each daemon. */
export interface FleetCaller { readonly name: string, readonly share: number, readonly rates: readonly number[] }

interface Options {
  readonly callers: readonly FleetCaller[]
  readonly daemons: number
  /** Places of all servers together. */
  readonly capacity: number
  /** Mean time of a place, ms. */
  readonly holdTime: number
  readonly duration: number
  /** How late a daemon knows what the others have in flight, ms. */
  readonly lag?: number
  readonly longestWait?: number
  readonly seed?: number
  /** How often daemons tell what is asked of them, ms; never when absent. */
  readonly reportPeriod?: number
}

/** Runs the gates of several daemons before common servers on virtual time; what is got is counted after a tenth. */
export function simulateFleetQueues ({ callers, daemons, capacity: places, holdTime: hold, duration, lag = 200, longestWait = 500, seed = 1, reportPeriod: tellEvery }: Options): Readonly<Record<string, CallerOutcome>> {
  const random = new Random(seed)
  const queues = Array.from({ length: daemons }, () => new PoolQueue({ longestWait: () => longestWait }))
  const inFlight = new Array<number>(daemons).fill(0)
  let known = [...inFlight]
  const got: Record<string, CallerOutcome> = Object.fromEntries(callers.map(({ name }) => [name, { asked: 0, answered: 0, refused: 0, held: 0, waits: [], refusedAfter: [] }]))
  const events: { readonly at: number, readonly run: () => void }[] = []
  let now = 0
  const plan = (at: number, run: () => void): void => {
    let index = events.length
    while (index > 0 && events[index - 1]!.at > at) index--
    events.splice(index, 0, { at, run })
  }
  let parts: ReadonlyMap<string, PoolAllocation> = new Map()
  const meters = Array.from({ length: daemons }, () => new DemandMeter())
  const exchange = (period: number): void => {
    const demands = new Map(meters.map((meter, daemon) => [String(daemon), meter.read(period, queues[daemon]!.holdTime, queues[daemon]!.countWaiting())]))
    plan(now + lag / 2, () => {
      parts = splitPool(demands, places)
    })
    plan(now + period, () => exchange(period))
  }
  const counts = (): boolean => now > duration / 10
  const hasPlace = (daemon: number): boolean => {
    const others = known.reduce((sum, count, i) => i === daemon ? sum : sum + count, 0)
    return inFlight[daemon]! < planDaemonLimit({ limit: places, others, daemons, fraction: parts.get(String(daemon))?.fraction, rounding: (daemon + 0.5) / daemons })
  }
  const letIn = (daemon: number): void => { while (queues[daemon]!.size > 0 && hasPlace(daemon)) queues[daemon]!.take() }
  const start = (daemon: number, name: string, share: number, asked: number, cost: number): void => {
    const time = hold * (0.5 + random.next())
    inFlight[daemon]!++
    if (counts()) got[name]!.waits.push(now - asked)
    plan(now + time, () => {
      inFlight[daemon]!--
      if (counts()) {
        got[name]!.answered++
        got[name]!.held += time
      }
      queues[daemon]!.settle(name, share, { cost, time })
      letIn(daemon)
    })
  }
  const arrive = (daemon: number, caller: FleetCaller): void => {
    const { name } = caller
    const share = caller.share * (parts.get(String(daemon))?.factors.get(name) ?? 1)
    meters[daemon]!.count(name, caller.share)
    plan(now - Math.log(1 - random.next()) * 1_000 / caller.rates[daemon]!, () => arrive(daemon, caller))
    if (counts()) got[name]!.asked++
    const queue = queues[daemon]!
    if (queue.size === 0 && hasPlace(daemon)) return start(daemon, name, share, now, queue.admit(name, share))
    const asked = now
    let settled = false
    const refuse = (): void => {
      settled = true
      if (!counts()) return
      got[name]!.refused++
      got[name]!.refusedAfter.push(now - asked)
    }
    const leave = queue.add({ caller: name, share, deadline: now + 10_000, hasCapacity: () => hasPlace(daemon), refuse, start: cost => { settled = true; start(daemon, name, share, asked, cost) } }, now)
    plan(now + longestWait, () => {
      if (settled) return
      leave()
      refuse()
    })
  }
  const tell = (): void => {
    const told = [...inFlight]
    plan(now + lag / 2, () => {
      known = told
      for (let daemon = 0; daemon < daemons; daemon++) letIn(daemon)
    })
    plan(now + lag / 2, tell)
  }
  tell()
  if (tellEvery !== undefined) exchange(tellEvery)
  for (const caller of callers) for (let daemon = 0; daemon < daemons; daemon++) if (caller.rates[daemon]! > 0) plan(0, () => arrive(daemon, caller))
  for (let next = events.shift(); next !== undefined && next.at < duration; next = events.shift()) {
    now = next.at
    next.run()
  }
  return got
}
