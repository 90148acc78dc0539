import 'reflect-metadata'
import test from 'ava'
import { Err, Ok, type Result } from 'ts-results'
import { EndedJobLookup } from '../../src/jobs/ended-job-lookup.js'
import { JobRecords } from '../../src/jobs/job-records.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import { findDomainLeader } from '../../src/peers/find-domain-leader.js'
import type { Member } from '../../src/peers/member.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import type { StoreError } from '../../src/store/store-error.js'
import type { WatchBatch } from '../../src/store/watch-batch.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const JOB = 'j'
const NAMES = ['d1', 'd2']
const MEMBERS = listMembers('z')
const LEADER = findDomainLeader(MEMBERS, 'z')!
const FOLLOWER = NAMES.find(name => name !== LEADER)!

interface Pair {
  readonly clock: VirtualClock
  readonly records: JobRecords
  readonly pauses: PauseWatch
  /** Latency of a read of the store, and of a message, ms. */
  readonly delays: { read: number, message: number }
  readonly find: (name: string) => ReturnType<EndedJobLookup['find']>
}

/** Lists both daemons, the first one in failure domain z. */
function listMembers (domain: string): readonly Member[] {
  return NAMES.map((name, i) => ({ instance: { name, failureDomain: i === 0 ? 'z' : domain }, state: 'alive', run: 1 })) as unknown as readonly Member[]
}

interface PairOptions {
  /** Failure domain of the second daemon. */
  readonly domain?: string
  /** The daemon that the store refuses. */
  readonly refused?: string
}

/** A domain leader and a follower, or the leaders of two failure domains, with a store that reads at once and answers after a delay. */
function createPair ({ domain = 'z', refused }: PairOptions = {}): Pair {
  const members = listMembers(domain)
  const clock = new VirtualClock()
  const store = new MemoryStore()
  const delays = { read: 0, message: 1 }
  const watch = store.watch.bind(store)
  store.watch = async <T>(kind: string, revision: number): Promise<Result<WatchBatch<T>, StoreError>> => {
    const seen = await watch<T>(kind, revision)
    if (delays.read > 0) await new Promise<void>(resolve => clock.after(delays.read, resolve))
    return seen
  }
  const records = new JobRecords(store)
  const pauses = new PauseWatch(clock)
  const handlers = new Map<string, readonly PeerHandler[]>()
  const lookups = new Map(NAMES.map(name => {
    const send = (to: string, message: PeerMessage): void => {
      clock.after(delays.message, () => { for (const handler of handlers.get(to)!) if (handler.type === message.type) handler.handle(message, name) })
    }
    const reachable: Pick<JobRecords, 'readEndedJobs'> = name === refused ? { readEndedJobs: async () => Err({ type: 'limited', retryAfter: 100 }) } : records
    const { failureDomain } = members.find(({ instance }) => instance.name === name)!.instance
    const lookup = new EndedJobLookup(reachable, { all: () => members }, { send }, pauses, { instance: name, failureDomain }, { write: () => {} }, clock)
    handlers.set(name, lookup.extensions.map(({ value }) => value as PeerHandler))
    return [name, lookup]
  }))
  return { clock, records, pauses, delays, find: async name => await lookups.get(name)!.find([JOB]) }
}

async function advanceUntil<T> (clock: VirtualClock, wanted: Promise<T>): Promise<T> {
  const found: T[] = []
  void wanted.then(value => found.push(value))
  for (let ms = 0; found.length === 0 && ms < 5_000; ms += 10) await clock.advance(10)
  return found[0]!
}

// Guards against a read that counts from its response: an end stored after the read would then be missed.
test('a shared read of the leader counts from when it was made, not from the request', async t => {
  const { clock, records, find } = createPair()
  await advanceUntil(clock, find(LEADER))
  const read = clock.now()
  await clock.advance(500)
  await records.end(JOB)
  const found = (await advanceUntil(clock, find(FOLLOWER))).unwrap()
  t.deepEqual(found.ended, [])
  t.true(found.readAt <= read, `a read of ${read} ms counts from ${found.readAt} ms`)
})

test('a read of the store counts from its start, however late the response', async t => {
  const { clock, records, delays, find } = createPair()
  delays.read = 300
  const reading = find(LEADER)
  await clock.advance(100)
  await records.end(JOB)
  const found = (await advanceUntil(clock, reading)).unwrap()
  t.deepEqual(found.ended, [])
  t.is(found.readAt, 0)
  t.is((await advanceUntil(clock, find(LEADER))).unwrap().readAt, 0, 'shared with the next request')
})

test('a read that is a second old is not shared', async t => {
  const { clock, records, find } = createPair()
  await advanceUntil(clock, find(LEADER))
  await records.end(JOB)
  await clock.advance(1_000)
  t.deepEqual((await advanceUntil(clock, find(FOLLOWER))).unwrap().ended, [JOB])
})

// Guards against a read for another daemon that counts from its response: an end stored after the read would then be missed.
for (const [title, refused, domain] of [['the next in rank', LEADER, 'z'], ['the leader of another failure domain', NAMES[0]!, 'y'], ['the first leader, for another failure domain', NAMES[1]!, 'y']] as const) {
  test(`a shared read of a relay counts from when it was made: ${title}`, async t => {
    const { clock, records, delays, find } = createPair({ refused, domain })
    const relay = NAMES.find(name => name !== refused)!
    delays.message = 100
    await advanceUntil(clock, find(relay))
    const read = clock.now()
    await clock.advance(400)
    await records.end(JOB)
    for (const pause of [0, 0, 1_000]) {
      await clock.advance(pause)
      const found = (await advanceUntil(clock, find(refused))).unwrap()
      t.deepEqual(found.ended, pause === 0 ? [] : [JOB])
      if (pause === 0) t.true(found.readAt <= read, `a read of ${read} ms counts from ${found.readAt} ms`)
    }
  })
}

// Guards against a response from before a pause of the process that is used after it.
test('a read during which the process was paused is repeated', async t => {
  const { clock, records, pauses, delays, find } = createPair()
  delays.read = 100
  const reading = find(LEADER)
  await clock.advance(50)
  await records.end(JOB)
  clock.pause(20_000)
  pauses.check()
  t.deepEqual((await advanceUntil(clock, reading)).unwrap().ended, [JOB])
})

// Guards against a monotonic clock that stops with a suspended machine, which makes an earlier read look recent.
test('a read from before a pause is not shared', async t => {
  const store = new MemoryStore()
  const [clock, records] = [new VirtualClock(), new JobRecords(store)]
  let missed = 0
  const suspended = { now: () => clock.now() - missed, date: () => clock.date(), after: clock.after.bind(clock), every: clock.every.bind(clock) }
  const lookup = new EndedJobLookup(records, { all: () => [] }, { send: () => {} }, new PauseWatch(suspended), { instance: 'd1', failureDomain: 'z' }, { write: () => {} }, suspended)
  t.deepEqual(await lookup.find([JOB]), Ok({ ended: [], owners: {}, readAt: 0 }))
  await records.end(JOB)
  clock.pause(20_000)
  missed = 20_000
  t.deepEqual((await lookup.find([JOB])).unwrap().ended, [JOB])
})

// Guards against a recorded owner that is taken for the end of the job, or that the follower of a leader isn't told of.
test('the leader and its follower find the processes that took the job over', async t => {
  const { clock, records, find } = createPair()
  for (const run of [1, 2]) await records.recordOwner(JOB, { owner: 'd9', run }, { former: [], mayRun: () => true })
  for (const name of [LEADER, FOLLOWER]) {
    const found = (await advanceUntil(clock, find(name)))!.unwrap()
    t.deepEqual([found.ended, found.owners], [[], { [JOB]: [{ owner: 'd9', run: 1 }, { owner: 'd9', run: 2 }] }])
  }
  await records.end(JOB)
  await clock.advance(1_000)
  t.deepEqual((await advanceUntil(clock, find(FOLLOWER)))!.unwrap().ended, [JOB])
})
