import 'reflect-metadata'
import test from 'ava'
import { Random } from '../../src/kernel/random.js'
import { SlotFleet } from '../helpers/slot-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const DAEMONS = 40
const SERVERS = 48
/** Requests a second at the crest and in the trough of a wave, as on the largest deployment with such servers. */
const CREST = 500
const TROUGH = 100

interface Play {
  /** Chance that a server fails a request at `ms`. */
  readonly failing: (server: number, ms: number) => number
  /** Time until a failing server answers, ms. */
  readonly failsAfter: number
  readonly until: number
}

/** Plays waves of requests, a tenth of which may run at another server; returns how many the servers failed, by server, and how many were refused. */
async function play ({ failing, failsAfter, until }: Play): Promise<{ readonly fleet: SlotFleet, readonly lost: readonly number[], readonly served: readonly number[], readonly refused: number }> {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: DAEMONS, servers: SERVERS, slots: 7, clock })
  await fleet.start()
  const random = new Random(11)
  const lost = Array.from({ length: SERVERS }, () => 0)
  const served = Array.from({ length: SERVERS }, () => 0)
  let refused = 0
  const ask = (daemon: string, repeatable: boolean): void => {
    fleet.ask(daemon, {
      repeatable,
      beginWithin: 2_000,
      start: server => {
        const index = Number(server.slice(1))
        const fails = random.next() < failing(index, clock.now())
        if (fails && !repeatable) lost[index]!++
        if (!fails) served[index]!++
        const end = fleet.begin(daemon, server, 'online')
        clock.after(fails ? failsAfter : 400 + random.below(300), () => end(fails ? 'error' : 'answered'))
      },
      refuse: () => { refused++ }
    })
  }
  for (let ms = 0; ms < until; ms += 10) {
    const rate = ms % 6_000 < 3_000 ? TROUGH : CREST
    for (let n = 0; n < rate / 100; n++) ask(`d${random.below(DAEMONS)}`, random.below(10) === 0)
    await clock.advance(10)
  }
  return { fleet, lost, served, refused }
}

// Guards against a server that fails at once and therefore draws the most requests, each daemon paying for its own evidence.
test('servers that fail every request at once cost the fleet a few requests each', async t => {
  const { lost, refused } = await play({ failing: (server, ms) => server < 6 && ms >= 1_000 && ms < 6_500 ? 1 : 0, failsAfter: 1, until: 12_000 })
  t.log({ lost: lost.slice(0, 6), refused })
  t.true(Math.max(...lost) <= 5)
  t.is(refused, 0)
})

// Guards against servers that fail part of their requests and are restored by the first that they answer.
test('servers that fail part of their requests get few of them', async t => {
  const { lost, served } = await play({ failing: (server, ms) => server < 7 && ms >= 1_000 && ms < 7_500 ? 0.45 : 0, failsAfter: 1, until: 12_000 })
  t.log({ lost: lost.slice(0, 7), served: served.slice(0, 7) })
  t.true(lost.reduce((sum, count) => sum + count, 0) <= 7 * 10)
})

// Guards against a server that stays ejected after its fault is over.
test('a server that answers again gets its share within seconds', async t => {
  const { fleet, served } = await play({ failing: (server, ms) => server < 6 && ms >= 1_000 && ms < 4_000 ? 1 : 0, failsAfter: 1, until: 10_000 })
  const restored = fleet.lines.filter(({ message }) => message === 'restored a server')
  t.log({ served: served.slice(0, 6), restored: restored.length })
  t.is(restored.length, 6)
})

// Guards against a fault of the requests, or of the network, that ejects the servers which are needed.
test('failures that are alike at all servers eject few of them', async t => {
  const { fleet, refused } = await play({ failing: (_server, ms) => ms >= 1_000 && ms < 8_000 ? 0.5 : 0, failsAfter: 300, until: 10_000 })
  const ejected = fleet.lines.filter(({ message }) => message === 'ejected a server').length
  t.log({ ejected, refused })
  t.true(ejected <= SERVERS / 4)
  t.is(refused, 0)
})

// Guards against servers that are ejected because connections are reset or answers lost now and then.
test('a server that loses one answer in twenty keeps its requests', async t => {
  const { fleet } = await play({ failing: server => server % 2 === 0 ? 0.05 : 0, failsAfter: 300, until: 12_000 })
  const ejected = fleet.lines.filter(({ message }) => message === 'ejected a server').length
  t.log({ ejected })
  t.true(ejected <= SERVERS / 4)
})
