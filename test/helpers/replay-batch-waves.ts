import { Random } from '../../src/kernel/random.js'
import { orderBatch } from '../../src/placement/order-batch.js'
import { SlotFleet } from './slot-fleet.js'
import { VirtualClock } from './virtual-clock.js'

/** Interval at which a daemon with waiting items requests slots, ms, and the slots of one request, as in `JobRunner`. */
const REQUEST_PERIOD = 50
const SLOTS_PER_REQUEST = 4
/** Time from the request to stop an item until its server has a free slot, ms. */
const STOP_TIME = 5

interface Item { readonly due: number, remaining: number, startedAt: number, server?: string, end?: () => void, cancel?: () => void, endedAt?: number }

interface ReplayOptions {
  readonly daemons: number
  readonly servers: number
  readonly slots: number
  /** Length of a trough and of a crest, ms, with their rates of online requests a second. */
  readonly trough: { readonly length: number, readonly rate: number }
  readonly crest: { readonly length: number, readonly rate: number }
  /** Jobs a second, their items, the time that each item needs of a slot, and the time until they are due, ms. */
  readonly jobs: { readonly rate: number, readonly items: number, readonly time: number, readonly dueIn: number }
  readonly length: number
  readonly seed?: number
}

interface Replay {
  readonly itemsInTime: number
  readonly items: number
  /** Runs of items that were stopped. */
  readonly stopped: number
  readonly online: number
  /** Online requests that were started within 100 ms, that were refused, and that met a server whose slots were all in use still. */
  readonly soon: number
  readonly refused: number
  readonly overfull: number
  /** Mean share of the slots that were idle in the lulls, from a second after each crest, while items waited. */
  readonly idleShare: number
}

/** Replays waves of online requests over a backlog of items that continue where they were stopped, on virtual time. */
export async function replayBatchWaves ({ daemons, servers, slots, trough, crest, jobs, length, seed = 21 }: ReplayOptions): Promise<Replay> {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons, servers, slots, clock })
  await fleet.start()
  const random = new Random(seed)
  const all: Item[] = []
  const held = new Map<string, Item[]>([...fleet.daemons.keys()].map(name => [name, []]))
  const result = { itemsInTime: 0, items: 0, stopped: 0, online: 0, soon: 0, refused: 0, overfull: 0 }
  const idleShares: number[] = []
  const isOverfull = (server: string): boolean => fleet.running.get(server)!.online + fleet.running.get(server)!.batch > slots
  const remainingOf = ({ remaining, startedAt, server }: Item): number => server === undefined ? remaining : remaining - (clock.now() - startedAt)
  const order = (list: readonly Item[]) => orderBatch(list.map(item => ({ item, due: item.due, remaining: remainingOf(item) })), clock.now())

  for (const [name, { client }] of fleet.daemons) {
    const waiting = (): readonly Item[] => order(held.get(name)!.filter(({ server, endedAt }) => server === undefined && endedAt === undefined)).map(({ item }) => item)
    client.subscribe({
      onGrant: (_pool, server) => {
        const item = waiting()[0]
        if (item === undefined) return
        Object.assign(item, { server, startedAt: clock.now(), end: fleet.begin(name, server, 'batch') })
        item.cancel = clock.after(item.remaining, () => {
          item.end!()
          Object.assign(item, { server: undefined, endedAt: clock.now(), remaining: 0 })
        })
      },
      onRevoke: server => {
        const last = order(held.get(name)!.filter(item => item.server === server)).at(-1)?.item
        if (last === undefined) return
        result.stopped++
        last.cancel!()
        Object.assign(last, { remaining: remainingOf(last), server: undefined })
        clock.after(STOP_TIME, last.end!)
      }
    })
    clock.every(REQUEST_PERIOD, () => {
      const first = waiting()[0]
      if (first !== undefined) client.requestBatchSlots('p', { count: Math.min(SLOTS_PER_REQUEST, waiting().length), due: first.due, remaining: first.remaining })
    })
  }

  const ask = (daemon: string): void => {
    const arrived = clock.now()
    result.online++
    fleet.ask(daemon, {
      beginWithin: 2_000,
      start: server => {
        const end = fleet.begin(daemon, server, 'online')
        if (isOverfull(server)) result.overfull++
        if (clock.now() - arrived <= 100) result.soon++
        clock.after(600 + random.below(400), end)
      },
      refuse: () => { result.refused++ }
    })
  }
  const [online, batch] = [{ owed: 0 }, { owed: 0 }]
  for (let ms = 0; ms < length; ms += 10) {
    const { rate } = ms % (trough.length + crest.length) < trough.length ? trough : crest
    for (online.owed += rate / 100; online.owed >= 1; online.owed--) ask(`d${random.below(daemons)}`)
    for (batch.owed += jobs.rate / 100; batch.owed >= 1; batch.owed--) {
      const job = Array.from({ length: jobs.items }, (): Item => ({ due: clock.now() + jobs.dueIn, remaining: random.spread(jobs.time, 0.5), startedAt: 0 }))
      all.push(...job)
      held.get(`d${random.below(daemons)}`)!.push(...job)
    }
    await clock.advance(10)
    const inLull = ms % (trough.length + crest.length) >= 1_000 && ms % (trough.length + crest.length) < trough.length
    const used = [...fleet.running.values()].reduce((sum, { online, batch }) => sum + Math.min(slots, online + batch), 0)
    const waits = all.some(({ server, endedAt }) => server === undefined && endedAt === undefined)
    if (inLull && waits) idleShares.push(1 - used / (slots * servers))
  }
  await clock.advance(jobs.dueIn)
  const idleShare = idleShares.reduce((sum, share) => sum + share, 0) / Math.max(1, idleShares.length)
  return { ...result, idleShare, items: all.length, itemsInTime: all.filter(({ endedAt = Infinity, due }) => endedAt <= due).length }
}
