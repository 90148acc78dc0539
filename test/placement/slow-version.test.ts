import 'reflect-metadata'
import test from 'ava'
import { SlotFleet } from '../helpers/slot-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

/** Mean intervals between events at a usual server and at one that is far too slow, ms. */
const USUAL = 30
const SLOW = 200
/** How often intervals are observed, ms. */
const PERIOD = 200
const SLOTS = 2

interface Trial {
  readonly clock: VirtualClock
  readonly fleet: SlotFleet
  /** Asks for a slot; the request holds it for `holdTime` ms. */
  readonly ask: (version: string | undefined, holdTime?: number) => { server?: string, waited?: number, refused?: boolean }
}

/** Starts daemons before six servers in one group, of which those in `slow` are far too slow for online requests; `versions` are those of the servers. */
async function startTrial (versions: readonly string[], slow: readonly string[]): Promise<Trial> {
  const clock = new VirtualClock()
  const fleet = new SlotFleet({ daemons: 1, servers: versions.length, slots: SLOTS, clock, versions: server => versions[server]! })
  await fleet.start()
  const { intervals } = fleet.daemons.get('d0')!.loads
  clock.every(PERIOD, () => { for (const server of fleet.running.keys()) intervals.record(server, 10, 10 * (slow.includes(server) ? SLOW : USUAL)) })
  const ask: Trial['ask'] = (version, holdTime = 1_000) => {
    const outcome: ReturnType<Trial['ask']> = {}
    const asked = clock.now()
    fleet.ask('d0', {
      version,
      start: server => {
        Object.assign(outcome, { server, waited: clock.now() - asked })
        const end = fleet.begin('d0', server, 'online')
        clock.after(holdTime, () => end())
      },
      refuse: () => { outcome.refused = true }
    })
    return outcome
  }
  // Reports go to a broker from the first grant on.
  ask(undefined, 10)
  await clock.advance(3_000)
  return { clock, fleet, ask }
}

const OLD_AND_NEW = ['old', 'old', 'new', 'new', 'new', 'new']

// Guards against a stream that is refused though its version's servers have room, because all of them are slow.
test('a request bound to a version of which only slow servers are left runs at one of them', async t => {
  const { clock, ask } = await startTrial(OLD_AND_NEW, ['s0', 's1'])
  const bound = ask('old')
  await clock.advance(50)
  t.true(['s0', 's1'].includes(bound.server!))
  t.true(bound.waited! < 50)
})

// Guards against requests that may run elsewhere and begin at a server that is too slow, also while all others are full.
test('requests that are bound to no version, or to one with a usual server, do not run at slow servers', async t => {
  const { clock, ask } = await startTrial(['old', 'old', 'old', 'new', 'new', 'new'], ['s0', 's1'])
  const bound = ask('old', 400)
  const asked = Array.from({ length: 30 }, (_, i) => ask(i % 3 === 0 ? 'old' : undefined, 400))
  await clock.advance(6_000)
  t.is(bound.server, 's2')
  t.false(asked.some(({ server }) => ['s0', 's1'].includes(server!)))
})

// Guards against slow servers that are overcommitted by bound requests, and against one that passes those that wait.
test('requests bound to a version of slow servers take their slots in order', async t => {
  const { clock, fleet, ask } = await startTrial(['old', 'new', 'new', 'new', 'new', 'new'], ['s0'])
  for (let n = 0; n < 100; n++) fleet.daemons.get('d0')!.queue.recordHoldTime('p', 100)
  const asked = Array.from({ length: 4 }, () => ask('old', 100))
  await clock.advance(60)
  t.deepEqual(asked.map(({ server }) => server), ['s0', 's0', undefined, undefined])
  await clock.advance(80)
  t.deepEqual(asked.map(({ server }) => server), ['s0', 's0', 's0', 's0'])
  t.is(fleet.running.get('s0')!.most, SLOTS)
})

// Guards against items that keep the slots of slow servers from bound requests, which could run nowhere else.
test('an item at a slow server makes room for a request bound to its version', async t => {
  const { clock, fleet, ask } = await startTrial(['old', 'new', 'new', 'new', 'new', 'new'], ['s0'])
  const items = new Map<string, () => void>()
  fleet.daemons.get('d0')!.client.subscribe({
    onGrant: (_pool, server) => { items.set(server, fleet.begin('d0', server, 'batch')) },
    onRevoke: server => {
      items.get(server)?.()
      items.delete(server)
    }
  })
  for (let round = 0; round < 20 && !items.has('s0'); round++) {
    fleet.daemons.get('d0')!.client.requestBatchSlots('p', { count: 4, due: clock.now() + 9_000, remaining: 1_000 })
    await clock.advance(50)
  }
  t.true(items.has('s0'))
  const bound = [ask('old'), ask('old')]
  await clock.advance(100)
  t.deepEqual(bound.map(({ server }) => server), ['s0', 's0'])
  t.false(items.has('s0'))
})

// Guards against a request that takes a slot of a server which is ejected for failing, because the server was also slow.
test('a slow server that is ejected is no candidate for a bound request', async t => {
  const { clock, fleet, ask } = await startTrial(OLD_AND_NEW, ['s0', 's1'])
  for (const server of ['s0', 's1']) fleet.recordHealth('d0', server, 'unreachable')
  const bound = ask('old')
  await clock.advance(50)
  t.is(bound.server, undefined)
})
