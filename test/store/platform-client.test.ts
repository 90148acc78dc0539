import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { ApiTransport } from '../../src/store/api-transport.js'
import { PlatformClient } from '../../src/store/platform-client.js'
import type { PlatformFaults } from '../../stand-ins/platform/platform-faults.js'
import { MemoryTransport } from '../helpers/memory-transport.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const CLIENTS = 48
const LOOPS = 4
const POLL = 500
const OUTAGE = 15_000
const SECOND = 1_000
const MEASURED_FROM = 60_000

function start (seed = 1): { clock: VirtualClock, platform: MemoryTransport, connect: (n?: number) => PlatformClient } {
  const clock = new VirtualClock()
  const platform = new MemoryTransport(clock)
  let writes = 0
  const connect = (n = 0): PlatformClient => new PlatformClient(platform, { clock, random: new Random(seed + n), metrics: new Metrics(), createId: () => `write-${++writes}` })
  return { clock, platform, connect }
}

/** Runs a call to its end on virtual time; returns its result and its duration in ms. */
async function run<T> (clock: VirtualClock, call: Promise<T>): Promise<{ readonly result: T, readonly time: number }> {
  const began = clock.now()
  let result: { readonly value: T } | undefined
  void call.then(value => { result = { value } })
  for (;;) {
    if (result !== undefined) return { result: result.value, time: clock.now() - began }
    await clock.advance(1)
  }
}

test('a write whose reply is lost is resent with its id and takes effect once', async t => {
  const { clock, platform, connect } = start()
  platform.setFaults({ lostReplies: 1 })
  const client = connect()
  const write = client.put('k', 'a', 'one', 0)
  await clock.advance(10)
  platform.setFaults({})
  t.is((await run(clock, write)).result.unwrap().version, 1)
  t.is(platform.objects.revision, 1)
})

test('a write without a reply, or overwritten before it is resent, is unknown and never a conflict', async t => {
  // The write takes effect, its reply is lost, and another one overwrites it before it is resent. "conflict" would mean that
  // nothing was written, though it was.
  const { clock, platform, connect } = start()
  platform.setFaults({ lostReplies: 1 })
  const client = connect()
  const write = client.put('k', 'a', 'one', 0)
  await clock.advance(10)
  platform.setFaults({})
  platform.objects.write('k', 'a', 'other', 1, 'of another')
  t.like((await run(clock, write)).result, { err: true, val: { type: 'unknown' } })
  platform.setFaults({ delayedWrites: { share: 1, delay: 60_000 } })
  t.like((await run(clock, client.put('k', 'b', 'late', 0))).result, { err: true, val: { type: 'unknown' } })
  await clock.advance(61_000)
  t.is(platform.objects.read('k', 'b')?.value, 'late')
})

test('the outcome of a write stays true after all delayed writes have been applied', async t => {
  // Guards against a write that is reported as written but isn't stored, and against one that takes effect after it was
  // refused as conflict, limited or unavailable.
  const step = fc.record({ writer: fc.nat(2), name: fc.constantFrom('a', 'b'), known: fc.nat(2), after: fc.integer({ min: 0, max: 400 }) })
  const faults: fc.Arbitrary<PlatformFaults> = fc.record({
    lostReplies: fc.constantFrom(0, 0.3, 0.6),
    delayedWrites: fc.record({ share: fc.constantFrom(0, 0.2, 0.4), delay: fc.integer({ min: 10, max: 3_000 }) }),
    writesPerSecond: fc.constantFrom(2, 400),
    seed: fc.nat(1_000)
  })
  await fc.assert(fc.asyncProperty(faults, fc.array(step, { minLength: 1, maxLength: 12 }), async (set, steps) => {
    const { clock, platform, connect } = start(set.seed)
    const clients = [connect(0), connect(1), connect(2)]
    const written = new Set<unknown>()
    const write = platform.objects.write.bind(platform.objects)
    platform.objects.write = (kind, name, value, version, id) => {
      const done = write(kind, name, value, version, id)
      if (typeof done === 'object') written.add(value)
      return done
    }
    platform.setFaults(set)
    const outcomes: Array<{ readonly value: string, readonly outcome: string }> = []
    for (const [i, { writer, name, known, after }] of steps.entries()) {
      const version = Math.max(0, (platform.objects.read('k', name)?.version ?? 0) - known)
      void clients[writer]!.put('k', name, `value-${i}`, version, 'caller').then(result => outcomes.push({ value: `value-${i}`, outcome: result.ok ? 'written' : result.val.type }))
      await clock.advance(after)
    }
    await clock.advance(30_000)
    const wrong = outcomes.find(({ value, outcome }) => outcome === 'written' ? !written.has(value) : outcome !== 'unknown' && written.has(value))
    if (wrong !== undefined) throw new Error(JSON.stringify(wrong))
    return outcomes.length === steps.length
  }), { numRuns: 150, seed: 3 })
  t.pass()
})

test('in an outage without answers the first writes wait, and all later ones are refused at once', async t => {
  const { clock, platform, connect } = start()
  const client = connect()
  await run(clock, client.put('k', 'a', 1, 0))
  platform.setFaults({ outage: 'silent' })
  const times: number[] = []
  for (let i = 0; i < 8; i++) {
    const { result, time } = await run(clock, client.put('k', `b${i}`, 1, 0, 'caller'))
    t.true(result.err)
    times.push(time)
  }
  t.log(`ms until each of 8 writes was refused: ${times.map(time => time.toFixed()).join(', ')}`)
  t.true(times.slice(2).every(time => time <= 1))
  platform.setFaults({})
  await clock.advance(6_000)
  t.true((await run(clock, client.put('k', 'c', 1, 0, 'caller'))).result.ok)
})

/** Starts loops that poll, and retry sooner after a failure, as the parts of a daemon do. */
function startLoops (clock: VirtualClock, read: () => Promise<boolean>): void {
  const loop = async (): Promise<never> => {
    for (;;) {
      const ok = await read()
      await new Promise<void>(resolve => clock.after(ok ? POLL : POLL / 2, resolve))
    }
  }
  for (let i = 0; i < LOOPS; i++) void loop()
}

async function countAfterOutage (start: (clock: VirtualClock, platform: ApiTransport, n: number) => () => Promise<boolean>): Promise<{ readonly first: number, readonly second: number, readonly during: number, readonly refused: number }> {
  const clock = new VirtualClock()
  const platform = new MemoryTransport(clock)
  for (let n = 0; n < CLIENTS; n++) startLoops(clock, start(clock, platform, n))
  await clock.advance(SECOND)
  platform.setFaults({ outage: 'refused' })
  await clock.advance(OUTAGE)
  platform.setFaults({ readsPerSecond: 200 })
  await clock.advance(5 * SECOND)
  const between = (from: number, to: number): number => platform.calls.filter(({ at }) => at >= from && at < to).length
  const end = SECOND + OUTAGE
  return {
    during: between(SECOND, end),
    first: between(end, end + SECOND),
    second: between(end + SECOND, end + 2 * SECOND),
    refused: platform.calls.filter(({ refused }) => refused).length
  }
}

test('no stampede when an outage ends', async t => {
  const before = await countAfterOutage((_clock, platform) => async () => (await platform.send({ type: 'instances' }, 2_000)).type === 'answered')
  const after = await countAfterOutage((clock, platform, n) => {
    const client = new PlatformClient(platform, { clock, random: new Random(n), metrics: new Metrics() })
    return async () => (await client.listInstances()).ok
  })
  t.log(`${CLIENTS} clients, ${LOOPS} loops each, platform of 200 reads a second; calls without and with the client's gate: ${JSON.stringify({ before, after })}`)
  t.true(after.first < before.first / 5)
  t.true(after.during < before.during / 10)
  t.true(after.refused < before.refused / 10)
})

test('busy daemons share the rate evenly, and few calls are refused', async t => {
  const { clock, platform, connect } = start()
  platform.setFaults({ writesPerSecond: 100 })
  const counts = [0, 0, 0, 0]
  counts.forEach((_, n) => {
    const client = connect(n)
    const loop = async (name: string): Promise<never> => {
      for (let i = 0; ; i++) {
        if ((await client.put('k', `${name}-${i}`, 1, 0)).ok && clock.now() > MEASURED_FROM) counts[n]!++
      }
    }
    for (let i = 0; i < 4; i++) void loop(`${n}-${i}`)
  })
  await clock.advance(MEASURED_FROM + 60 * SECOND)
  const total = counts.reduce((sum, count) => sum + count, 0)
  const refused = platform.calls.filter(({ at, refused }) => refused && at > MEASURED_FROM).length
  t.log(`writes accepted in 60 s: ${counts.join(', ')}; refused ${refused}`)
  t.true(Math.max(...counts) < 1.3 * Math.min(...counts))
  t.true(total > 0.7 * 60 * 100)
  t.true(refused < 0.1 * total)
})

test('callers\' writes precede background writes when the budget is short', async t => {
  const { clock, platform, connect } = start()
  platform.setFaults({ writesPerSecond: 20 })
  const client = connect()
  for (let i = 0; i < 40; i++) {
    void (async () => { for (let j = 0; ; j++) await client.put('k', `back-${i}-${j}`, 1, 0) })()
  }
  await clock.advance(30 * SECOND)
  let accepted = 0
  for (let i = 0; i < 20; i++) {
    if ((await run(clock, client.put('k', `caller-${i}`, 1, 0, 'caller'))).result.ok) accepted++
    await clock.advance(400)
  }
  t.log(`${accepted} of 20 callers' writes accepted`)
  t.true(accepted >= 18)
})
