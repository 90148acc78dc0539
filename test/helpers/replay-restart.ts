import { Random } from '../../src/kernel/random.js'
import { SlotFleet } from './slot-fleet.js'
import { VirtualClock } from './virtual-clock.js'

/** Time that an engine needs for the first event of a request, and for all, ms. */
const FIRST_EVENT = 40
const HOLD_TIME = 760
/** Target time to the first event, ms, as `SlotFleet` asks for. */
const TARGET = 300

interface ReplayOptions {
  readonly daemons: number
  readonly servers: number
  readonly slots: number
  /** Time by which messages are late while the daemons' processes are new, and how long they are, ms. */
  readonly delay: { readonly by: number, readonly for: number }
  /** Requests that were first asked while no daemon ran, how long ago, and the time over which they return, ms. */
  readonly returning: { readonly count: number, readonly asked: number, readonly within: number }
  /** Further requests a second, and for how long, ms. */
  readonly rate: number
  readonly length: number
  readonly seed?: number
}

interface Replay {
  /** Requests asked since the restart, those with their first event in time, and those refused at their only attempt. */
  readonly asked: number
  readonly inTime: number
  readonly refused: number
  /** Of the returning requests: those answered, and the longest time until that, ms. */
  readonly returned: number
  readonly longest: number
}

/** Replays a restart of all daemons under load on virtual time. Engines run as many requests as they have slots, in order of arrival. */
export async function replayRestart ({ daemons, servers, slots, delay, returning, rate, length, seed = 5 }: ReplayOptions): Promise<Replay> {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons, servers, slots, clock })
  await fleet.start()
  const random = new Random(seed)
  const result = { asked: 0, inTime: 0, refused: 0, returned: 0, longest: 0 }
  const engines = new Map([...fleet.running.keys()].map(name => [name, Array.from({ length: slots }, () => 0)]))
  for (const name of fleet.daemons.keys()) fleet.delays.set(name, delay.by)
  clock.after(delay.for, () => fleet.delays.clear())

  /** Starts a request at an engine; returns when its first event arrives. */
  const run = (daemon: string, server: string): number => {
    const ends = engines.get(server)!
    const slot = ends.indexOf(Math.min(...ends))
    const begins = Math.max(clock.now(), ends[slot]!)
    ends[slot] = begins + HOLD_TIME
    clock.after(ends[slot]! - clock.now(), fleet.begin(daemon, server, 'online'))
    return begins + FIRST_EVENT
  }
  const ask = (sinceAsked: number): void => {
    const daemon = `d${random.below(daemons)}`
    const arrived = clock.now()
    const isReturning = sinceAsked > 0
    if (!isReturning) result.asked++
    fleet.ask(daemon, {
      beginWithin: 3_000,
      sinceAsked,
      start: server => {
        const first = run(daemon, server)
        if (isReturning) {
          result.returned++
          result.longest = Math.max(result.longest, first - arrived)
        } else if (first <= arrived + TARGET) result.inTime++
      },
      refuse: () => { if (!isReturning) result.refused++ }
    })
  }
  for (let i = 0; i < returning.count; i++) clock.after(random.below(returning.within), () => ask(returning.asked))
  for (let ms = 0, owed = 0; ms < length; ms += 10) {
    for (owed += rate / 100; owed >= 1; owed--) ask(0)
    await clock.advance(10)
  }
  await clock.advance(5_000)
  return result
}
