import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { JobRegistry } from '../../src/jobs/registry/job-registry.js'
import { JobRegistrySync } from '../../src/jobs/registry/job-registry-sync.js'
import { Random } from '../../src/kernel/random.js'
import type { FleetBroadcast } from '../../src/peers/fleet-broadcast.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import { shortCodec } from '../../src/peers/short-codec.js'
import { JobFleet } from '../helpers/job-fleet.js'
import { showEntry } from '../helpers/show-entry.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const { items, names } = JobFleet
const JOB = 'j'
/** Time after the last loss by which all daemons must agree, ms. */
const SETTLED = 8_000

type Step =
  | { readonly type: 'lose', readonly share: number }
  | { readonly type: 'pause', readonly daemon: number, readonly ms: number }
  | { readonly type: 'restart', readonly daemon: number }
  | { readonly type: 'finish', readonly item: number }
  | { readonly type: 'time', readonly ms: number }

const daemon = fc.nat(names.length - 1)
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ type: fc.constant('lose' as const), share: fc.constantFrom(0.3, 0.8, 1) }),
  fc.record({ type: fc.constant('pause' as const), daemon, ms: fc.integer({ min: 500, max: 6_000 }) }),
  fc.record({ type: fc.constant('restart' as const), daemon }),
  fc.record({ type: fc.constant('finish' as const), item: fc.nat(items.length - 1) }),
  { weight: 3, arbitrary: fc.record({ type: fc.constant('time' as const), ms: fc.integer({ min: 10, max: 3_000 }) }) }
)

async function run (steps: readonly Step[], seed: number): Promise<JobFleet> {
  const fleet = new JobFleet()
  const random = new Random(seed)
  await fleet.start()
  await fleet.daemons.get(names[0]!)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
  await fleet.time.advance(10)
  for (const current of steps) {
    switch (current.type) {
      case 'lose': fleet.loses = () => random.next() < current.share; break
      case 'pause': await fleet.pause(names[current.daemon]!, current.ms, true); break
      case 'restart': {
        const { owner, clock } = fleet.daemons.get(names[current.daemon]!)!
        if (owner.find(JOB) === undefined && !clock.isPaused) fleet.restart(names[current.daemon]!)
        break
      }
      case 'finish': for (const one of fleet.daemons.values()) one.finish(items[current.item]!.id); break
      case 'time': await fleet.time.advance(current.ms); break
    }
  }
  await fleet.time.advance(8_000)
  fleet.loses = () => false
  await fleet.time.advance(SETTLED)
  return fleet
}

function listBeliefs (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].map(({ registry }) => showEntry(registry.entries.get(JOB)))
}

// Guards against daemons that believe different things about a job for good, whichever messages were lost and whoever started meanwhile.
test('all daemons agree on a job after messages were lost, daemons paused and started', async t => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 15 }), fc.nat(), async (steps, seed) => {
    const fleet = await run(steps, seed)
    const owner = [...fleet.daemons.values()].find(({ owner }) => owner.find(JOB) !== undefined)
    const expected = owner?.owner.find(JOB)?.tokensLeft ?? 0
    const counts = [...fleet.daemons.values()].map(({ registry }) => registry.countWaitingTokens(() => true))
    if (new Set(listBeliefs(fleet)).size > 1 || counts.some(count => count !== expected)) throw new Error([`${expected} left, ${counts.join()} counted`, ...listBeliefs(fleet)].join('\n'))
  }), { numRuns: 60 })
  t.pass()
})

// Guards against confirming a job as known that was removed, because the message about its removal was lost.
test('a daemon that missed the removal of a job forgets it', async t => {
  const fleet = await run([], 0)
  const [first, other] = [fleet.daemons.get(names[0]!)!, fleet.daemons.get(names[3]!)!]
  fleet.loses = () => true
  first.owner.forget(JOB)
  await fleet.time.advance(1_000)
  t.not(other.registry.get(JOB), undefined)
  fleet.loses = () => false
  await fleet.time.advance(SETTLED)
  t.is(other.registry.get(JOB), undefined)
})

// Guards against counting the tokens of items that ended shortly after a publication until the next item ends.
test('the tokens left of a job are published although nothing happens after the last item', async t => {
  const fleet = await run([], 0)
  const { finish } = fleet.daemons.get(names[0]!)!
  for (const { id } of items.slice(0, 3)) {
    finish(id)
    await fleet.time.advance(600)
  }
  await fleet.time.advance(SETTLED)
  t.is(fleet.daemons.get(names[3]!)!.registry.countWaitingTokens(() => true), 30)
})

// Guards against a daemon that learns of a job only when another one compares registries with it.
test('a daemon that missed a job learns it by its own comparison', async t => {
  const fleet = new JobFleet()
  const other = names[3]!
  fleet.loses = (from, to, { type }) => (to === other && type === 'job') || (from !== other && type === 'job digest')
  await fleet.start()
  await fleet.daemons.get(names[0]!)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
  await fleet.time.advance(1_000)
  t.is(fleet.daemons.get(other)!.registry.countWaitingTokens(() => true), 60)
})

// Guards against two owners of a job for good that don't receive each other's publications.
test('two owners that learn of each other by comparison only leave one owner', async t => {
  const fleet = await run([], 0)
  fleet.loses = (_from, _to, { type }) => type === 'job'
  await fleet.pause(names[0]!, 6_000, true)
  await fleet.time.advance(6_000 + SETTLED)
  t.is([...fleet.daemons.values()].filter(({ owner }) => owner.find(JOB) !== undefined).length, 1)
})

const DAEMONS = 71
const JOBS = 300
/** Bytes per second that a daemon may send for comparisons while nothing changes: a twentieth of what control may send in all. */
const QUIET_RATE = 300
/** Time in which all daemons of a large fleet must know a job of which all but one missed the publication, ms. */
const SPREAD = 30_000

interface LargeFleet { readonly time: VirtualClock, readonly registries: readonly JobRegistry[], countBytes: () => number }

/** Starts daemons that know the same jobs. */
function startLargeFleet (): LargeFleet {
  const time = new VirtualClock()
  const handlers = new Map<string, readonly PeerHandler[]>()
  const all = Array.from({ length: DAEMONS }, (_, i) => ({ instance: { name: `d${i}` } }))
  let bytes = 0
  const registries = all.map(({ instance: { name: from } }, i) => {
    const links = {
      send: (to: string, message: { readonly type: string }) => {
        bytes += shortCodec.encode(message).length
        time.after(1, () => { for (const { type, handle } of handlers.get(to)!) if (type === message.type) handle(message, from) })
      }
    }
    const registry = new JobRegistry({ broadcast: () => {} } as unknown as FleetBroadcast, time)
    const sync = new JobRegistrySync(registry, { all: () => all } as unknown as Members, links, { instance: from }, new Random(i), time)
    handlers.set(from, [...registry.extensions, ...sync.extensions].map(({ value }) => value as PeerHandler))
    for (let job = 0; job < JOBS; job++) registry.addIfAbsent({ id: `job-${job}`, host: 'h', path: '/', submittedAt: 1, owner: 'd0', run: 1, tokensLeft: 9, stored: true, closed: false })
    void sync.start()
    return registry
  })
  return { time, registries, countBytes: () => bytes }
}

// Guards against comparisons that cost more the more jobs there are.
test('comparing registries that are equal costs little in a large fleet', async t => {
  const { time, countBytes } = startLargeFleet()
  await time.advance(10_000)
  const before = countBytes()
  await time.advance(20_000)
  const rate = (countBytes() - before) / DAEMONS / 20
  t.log({ bytesPerSecond: Math.round(rate) })
  t.true(rate < QUIET_RATE)
})

// Guards against a job that most daemons of a large fleet never hear of, because a domain leader failed while it relayed the publication.
test('a publication that reached nobody spreads to all daemons of a large fleet', async t => {
  const { time, registries, countBytes } = startLargeFleet()
  await time.advance(5_000)
  registries[7]!.publish({ id: 'new', host: 'h', path: '/', submittedAt: 1, owner: 'd7', run: 1, tokensLeft: 9, stored: true, closed: false })
  const [from, before] = [time.now(), countBytes()]
  while (registries.some(registry => registry.get('new') === undefined) && time.now() < from + SPREAD) await time.advance(100)
  t.log({ ms: time.now() - from, bytes: countBytes() - before })
  t.true(registries.every(registry => registry.get('new') !== undefined))
})

// Guards against a message with many long paths, which ends the link to the daemon that gets it each time.
test('entries with long paths are exchanged in messages that a link takes', async t => {
  const fleet = new JobFleet()
  const sizes: number[] = []
  fleet.loses = (_from, _to, message) => {
    sizes.push(shortCodec.encode(message as never).length)
    return message.type === 'job'
  }
  await fleet.start()
  const owner = fleet.daemons.get(names[0]!)!
  for (let n = 0; n < 120; n++) owner.registry.addIfAbsent({ id: `j${n}`, host: 'h', path: `/${'p'.repeat(12_000)}/${n}`, submittedAt: n, owner: names[0]!, run: 1, tokensLeft: 1, stored: true, closed: false })
  await fleet.time.advance(SETTLED)
  t.true(Math.max(...sizes) < 1_000_000, String(Math.max(...sizes)))
  t.deepEqual([...fleet.daemons.values()].map(({ registry }) => registry.list().length), names.map(() => 120))
})
