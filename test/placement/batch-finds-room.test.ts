import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { slotGroups } from '../../src/placement/slot-groups.js'
import { SlotFleet } from '../helpers/slot-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

/** Duration of the online load, and of the time after it in which jobs are alone, ms. */
const LOADED = 6_000
const ALONE = 12_000
/** Time that an online request and an item hold a slot, ms. */
const ONLINE_TIME = 400
const ITEM_TIME = 200
/** Interval at which a daemon asks for slots while an item waits, ms, as in `JobRunner`. */
const ASK_PERIOD = 50
/**
 * Longest wait of an item for a slot while servers are under half full, ms: the longest ejection of a server (4 s), then 2 s until
 * items probe it, and the items that probe it one at a time. Counts expire after 3 s, and a broker is done without after 3 s.
 */
const MAX_WAIT = 7_000

interface Play {
  readonly fleet: SlotFleet
  readonly clock: VirtualClock
  readonly random: Random
  readonly daemons: readonly string[]
  /** The daemon that all daemons take for the broker of the first group. */
  readonly broker: string
  /** Whether a server fails online requests now. */
  failsAt: (server: string) => boolean
}

interface Case {
  readonly name: string
  readonly daemons?: number
  readonly servers: number
  readonly slots?: number
  readonly versions?: (server: number) => string
  /** Online requests a second, by time since the start, ms. */
  readonly rate?: (ms: number) => number
  /** Called each 10 ms, also while jobs are alone. */
  readonly disturb?: (play: Play, ms: number) => void
}

/** Lists the daemons in the order in which they replace one another as the broker of the first group. */
const rankBrokers = (daemons: readonly string[]): readonly string[] => {
  const [first, ...others] = [slotGroups.findBroker('p', 0, daemons)!, ...daemons]
  const rest = others.filter(name => name !== first)
  return rest.length === 0 ? [first] : [first, ...rankBrokers(rest)]
}

const cases: readonly Case[] = [
  { name: 'one server of one slot', daemons: 3, servers: 1, slots: 1, rate: () => 2 },
  { name: 'two servers of one slot', daemons: 3, servers: 2, slots: 1, rate: () => 2 },
  { name: 'ten groups, some of which were full at the end of the load', servers: 150, slots: 2, rate: ms => ms < 5_000 ? 300 : 900 },
  { name: 'half of the servers failed requests', servers: 6, rate: () => 40, disturb: (play, ms) => { play.failsAt = server => ms < LOADED && Number(server.slice(1)) % 2 === 1 } },
  { name: 'all servers but one failed requests', servers: 3, rate: () => 40, disturb: (play, ms) => { play.failsAt = server => ms < LOADED && server !== 's0' } },
  {
    name: 'online requests wait for the one version whose servers are full',
    servers: 4,
    versions: server => server === 0 ? 'old' : 'new',
    disturb: ({ fleet, clock, daemons }, ms) => {
      if (ms % 200 !== 0) return
      const daemon = daemons[0]!
      fleet.ask(daemon, { version: 'old', sinceAsked: 100, start: server => clock.after(2_500, fleet.begin(daemon, server, 'online')) })
    }
  },
  {
    name: 'the broker was killed',
    servers: 4,
    rate: () => 20,
    disturb: (play, ms) => {
      if (ms === LOADED - 100) play.fleet.kill(play.broker)
      if (ms === LOADED + 2_500) play.fleet.detectDead()
    }
  },
  {
    name: 'the broker was killed and then its successor',
    servers: 4,
    rate: () => 20,
    disturb: (play, ms) => {
      const { fleet, daemons } = play
      const [first, second] = rankBrokers(daemons)
      if (ms === LOADED - 2_000) fleet.kill(first!)
      if (ms === LOADED - 500) fleet.detectDead()
      if (ms === LOADED - 100) fleet.kill(second!)
      if (ms === LOADED + 2_500) fleet.detectDead()
    }
  },
  {
    name: 'the broker restarted',
    servers: 4,
    rate: () => 20,
    disturb: (play, ms) => {
      if (ms === LOADED - 100) play.fleet.kill(play.broker)
      if (ms === LOADED + 500) play.fleet.revive(play.broker)
    }
  },
  {
    name: 'a daemon that held most slots was killed',
    servers: 2,
    rate: () => 5,
    disturb: (play, ms) => {
      const { fleet, daemons } = play
      const killed = rankBrokers(daemons).at(-1)!
      if (ms === LOADED - 500) { for (let n = 0; n < 14; n++) fleet.ask(killed, { start: server => { fleet.begin(killed, server, 'online') } }) }
      if (ms === LOADED) fleet.kill(killed)
      if (ms === LOADED + 2_500) fleet.detectDead()
    }
  },
  { name: 'a third of all messages was lost', servers: 4, rate: () => 40, disturb: ({ fleet, random }, ms) => { fleet.isLost = () => ms < LOADED && random.below(3) === 0 } },
  { name: 'a third of all messages is lost', servers: 4, rate: () => 40, disturb: ({ fleet, random }) => { fleet.isLost = () => random.below(3) === 0 } },
  {
    name: 'one daemon asks another broker than the others',
    servers: 4,
    rate: () => 20,
    disturb: (play, ms) => {
      const asker = rankBrokers(play.daemons).at(-1)!
      if (ms === LOADED - 1_000) {
        play.fleet.unlisted.set(asker, new Set([play.broker]))
        play.fleet.notifyMembership()
      }
    }
  },
  {
    name: 'the broker takes another daemon for the broker',
    servers: 4,
    rate: () => 20,
    disturb: (play, ms) => {
      if (ms === LOADED - 1_000) {
        play.fleet.unlisted.set(play.broker, new Set([play.broker]))
        play.fleet.notifyMembership()
      }
    }
  },
  {
    name: 'a daemon finds no broker',
    servers: 4,
    rate: () => 20,
    disturb: (play, ms) => {
      const asker = rankBrokers(play.daemons).at(-1)!
      if (ms === LOADED - 1_000) {
        play.fleet.unlisted.set(asker, new Set(play.daemons))
        play.fleet.notifyMembership()
      }
    }
  },
  {
    name: 'messages of one daemon to the broker are lost',
    servers: 4,
    rate: () => 20,
    disturb: (play, ms) => {
      const asker = rankBrokers(play.daemons).at(-1)!
      play.fleet.isLost = (from, to) => ms >= LOADED && from === asker && to === play.broker
    }
  },
  {
    name: 'messages of the broker to one daemon are lost',
    servers: 2,
    rate: () => 20,
    disturb: (play, ms) => {
      const asker = rankBrokers(play.daemons).at(-1)!
      play.fleet.isLost = (from, to) => ms >= LOADED && from === play.broker && to === asker
    }
  },
  {
    name: 'messages of the broker of few slots to one daemon are lost',
    daemons: 3,
    servers: 1,
    slots: 6,
    rate: () => 2,
    disturb: (play, ms) => {
      const asker = rankBrokers(play.daemons).at(-1)!
      play.fleet.isLost = (from, to) => ms >= LOADED && from === play.broker && to === asker
    }
  },
  {
    name: 'one daemon could not reach the servers',
    servers: 4,
    rate: () => 20,
    disturb: ({ fleet, daemons, broker }, ms) => {
      if (ms < LOADED && ms % 100 === 0) for (let n = 0; n < 4; n++) fleet.recordHealth(rankBrokers(daemons).at(-1)!, `s${n}`, 'unreachable')
    }
  },
  {
    name: 'the broker could not reach the servers for long',
    servers: 4,
    rate: () => 20,
    disturb: ({ fleet, broker }, ms) => {
      if (ms === LOADED - 100) for (let n = 0; n < 4; n++) fleet.health.set(`${broker} s${n}`, { failures: 7, failedAt: LOADED - 100, ejections: 7, ejectedUntil: LOADED - 100 + 30_000 })
    }
  },
  {
    name: 'one daemon could not reach the servers for long',
    servers: 4,
    rate: () => 20,
    disturb: ({ fleet, broker, daemons }, ms) => {
      if (ms === LOADED - 100) for (let n = 0; n < 4; n++) fleet.health.set(`${rankBrokers(daemons).at(-1)!} s${n}`, { failures: 7, failedAt: LOADED - 100, ejections: 7, ejectedUntil: LOADED - 100 + 30_000 })
    }
  }
]

/** Plays the online load and then jobs alone; returns the longest wait of an item in that time, by daemon, ms, and how many items servers failed. */
async function play ({ daemons = 6, servers, slots = 8, versions, rate = () => 0, disturb = () => {} }: Case, seed: number, bound: boolean): Promise<{ readonly waits: ReadonlyMap<string, number>, readonly failed: number }> {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons, servers, slots, clock, ...versions !== undefined && { versions } })
  await fleet.start()
  const random = new Random(seed)
  const names = [...fleet.daemons.keys()]
  const state: Play = { fleet, clock, random, daemons: names, broker: slotGroups.findBroker('p', 0, names)!, failsAt: () => false }
  const waits = new Map<string, number>()
  let failed = 0
  const waitingSince = new Map<string, number>()
  const listServers = (daemon: string): readonly string[] => {
    const all = Array.from({ length: servers }, (_, n) => `s${n}`).filter(server => versions === undefined || versions(Number(server.slice(1))) === 'new')
    return bound ? [all[(names.indexOf(daemon) + seed) % all.length]!] : all
  }
  const recordWait = (daemon: string): void => {
    const since = waitingSince.get(daemon)
    if (since !== undefined) waits.set(daemon, Math.max(waits.get(daemon) ?? 0, clock.now() - since))
  }
  for (const [daemon, { client }] of fleet.daemons) {
    client.subscribe({
      onGrant: (_pool, server) => {
        if (!waitingSince.has(daemon) || !listServers(daemon).includes(server) || fleet.dead.has(daemon)) return
        recordWait(daemon)
        waitingSince.delete(daemon)
        const end = fleet.begin(daemon, server, 'batch')
        const fails = state.failsAt(server)
        clock.after(fails ? 1 : ITEM_TIME, () => {
          if (fails) failed++
          end(fails ? 'error' : 'answered')
          fleet.recordHealth(daemon, server, 'answered')
          waitingSince.set(daemon, clock.now())
        })
      },
      onRevoke: () => {}
    })
    const requestNext = (): void => {
      clock.after(random.spread(ASK_PERIOD), requestNext)
      const usable = listServers(daemon)
      const avoided = Array.from({ length: servers }, (_, n) => `s${n}`).filter(server => !usable.includes(server))
      if (waitingSince.has(daemon) && !fleet.dead.has(daemon)) client.requestBatchSlots('p', { count: 1, due: clock.now() + 10_000, remaining: ITEM_TIME, avoided })
    }
    requestNext()
  }
  const ask = (daemon: string): void => fleet.ask(daemon, {
    repeatable: random.below(2) === 0,
    start: server => {
      const end = fleet.begin(daemon, server, 'online')
      const fails = state.failsAt(server)
      clock.after(fails ? 1 : ONLINE_TIME, () => end(fails ? 'error' : 'answered'))
    }
  })
  let owed = 0
  for (let ms = 0; ms < LOADED + ALONE; ms += 10) {
    disturb(state, ms)
    if (ms < LOADED) for (owed += rate(ms) / 100; owed >= 1; owed--) ask(names[random.below(daemons)]!)
    if (ms === LOADED) for (const name of names) waitingSince.set(name, clock.now())
    await clock.advance(10)
  }
  for (const daemon of names) if (!fleet.dead.has(daemon)) recordWait(daemon)
  return { waits, failed }
}

// Guards against items that no server has for seconds while servers have room, because only an online request would change what keeps them out.
for (const row of cases) {
  for (const bound of [false, true]) {
    for (const seed of [1, 2, 3]) {
      test(`${row.name}: ${bound ? 'an item that only one server may run' : 'any item'} finds room, seed ${seed}`, async t => {
        const { waits } = await play(row, seed, bound)
        t.log({ longest: Math.round(Math.max(...waits.values())) })
        t.true([...waits.values()].every(wait => wait <= MAX_WAIT), JSON.stringify([...waits]))
      })
    }
  }
}

// Guards against items that use up their attempts at servers which fail on after the online load has ended.
test('servers that fail on get few items', async t => {
  const servers = 6
  const { failed } = await play({ name: '', servers, rate: () => 40, disturb: play => { play.failsAt = server => Number(server.slice(1)) % 2 === 1 } }, 1, true)
  t.log({ failed })
  // Each server is probed once in 2 s at most.
  t.true(failed >= servers / 2 && failed <= servers / 2 * ALONE / 2_000)
})
