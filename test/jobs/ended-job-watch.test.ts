import 'reflect-metadata'
import test from 'ava'
import { findDomainLeader } from '../../src/peers/find-domain-leader.js'
import type { Member } from '../../src/peers/member.js'
import type { StoreError } from '../../src/store/store-error.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const OWNER = names[4]!
const ENDS = 'job-ends'
/** How long items may start without a successful read while the store is unavailable, ms. */
const OUTAGE_BOUND = 60_000
/** Time between two checks, and until the next one after a failure, ms. */
const CHECK_PERIOD = 1_100
const RETRY_DELAY = 300

async function accept (fleet: JobFleet, owners: readonly string[] = [OWNER]): Promise<void> {
  await fleet.start()
  for (const name of owners) await fleet.daemons.get(name)!.owner.accept(`job of ${name}`, { host: 'h', path: '/jobs/' }, items)
}

function mayStart (fleet: JobFleet): boolean {
  const { owner, clock } = fleet.daemons.get(OWNER)!
  return owner.find(`job of ${OWNER}`)!.mayStart(clock.now())
}

function failReads (fleet: JobFleet, error: StoreError): void {
  fleet.store.fault = ({ call }) => call === 'watch' ? { fail: error } : 'none'
}

test('the items of an accepted job may start at once, and while reads succeed', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  for (let second = 0; second < 10; second++) {
    t.true(mayStart(fleet))
    await fleet.time.advance(1_000)
  }
})

// Guards against an owner that continues without reads because the store rate-limits this daemon only.
test('nothing starts once reads have been refused for longer than the limit', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  failReads(fleet, { type: 'limited', retryAfter: 100 })
  await fleet.time.advance(3_000)
  t.false(mayStart(fleet))
  fleet.store.fault = () => 'none'
  await fleet.time.advance(1_500)
  t.true(mayStart(fleet))
})

// Guards against an outage of the store that stops all batch work, and against a daemon that stays partitioned.
test('items start for a minute while the store does not answer', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  failReads(fleet, { type: 'unavailable', reason: 'outage' })
  await fleet.time.advance(OUTAGE_BOUND - 3_000)
  t.true(mayStart(fleet))
  await fleet.time.advance(6_000)
  t.false(mayStart(fleet))
})

// Guards against a process that was paused and starts items on a read from before.
for (const counted of [true, false]) {
  test(`after a pause nothing starts before a new read (monotonic clock ${counted ? 'runs on' : 'stops'})`, async t => {
    const fleet = new JobFleet()
    await accept(fleet)
    failReads(fleet, { type: 'unavailable', reason: 'outage' })
    await fleet.pause(OWNER, 2_000, counted)
    await fleet.time.advance(2_300)
    t.false(mayStart(fleet))
    fleet.store.fault = () => 'none'
    await fleet.time.advance(1_000)
    t.true(mayStart(fleet))
  })
}

// Guards against a late response of the leader, from before an end, that counts as a recent read.
test('a response of the leader counts from the time of the request at most', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  await fleet.time.advance(1_500)
  fleet.loses = (_from, _to, { type }) => type === 'job ends answer'
  failReads(fleet, { type: 'limited', retryAfter: 100 })
  await fleet.time.advance(3_000)
  t.false(mayStart(fleet))
})

// Guards against a number of reads that grows with the fleet.
test('one daemon of a failure domain reads the store for all', async t => {
  const counts = await Promise.all([[names[0]!], names].map(async owners => {
    const fleet = new JobFleet()
    await accept(fleet, owners)
    fleet.store.calls.length = 0
    await fleet.time.advance(20_000)
    return fleet.store.calls.filter(({ call, kind }) => call === 'watch' && kind === ENDS).length
  }))
  t.true(counts[1]! <= 25, `${counts.join(' and ')} reads in 20 s for one owner and for five`)
})

// Guards against every daemon reading the store for as long as an unresponsive leader is a member.
test('an unresponsive leader is skipped', async t => {
  const fleet = new JobFleet()
  await accept(fleet, names)
  await fleet.time.advance(2_000)
  const leader = findDomainLeader(names.map(name => ({ instance: { name, failureDomain: 'z' }, state: 'alive', run: 1 }) as unknown as Member), 'z')
  fleet.loses = (from, to, { type }) => type.startsWith('job ends') && (from === leader || to === leader)
  fleet.store.calls.length = 0
  await fleet.time.advance(20_000)
  const reads = fleet.store.calls.filter(({ call, kind }) => call === 'watch' && kind === ENDS).length
  t.true(reads <= 70, `${reads} reads in 20 s, 90 by five daemons that each read for themselves`)
  t.true(mayStart(fleet))
})

// Guards against look-ups that become more frequent the longer the store refuses them.
test('failed look-ups are repeated at the same rate however long the store refuses them', async t => {
  const fleet = new JobFleet()
  await accept(fleet)
  let reads = 0
  fleet.storeFault = (daemon, { kind }) => {
    if (daemon === OWNER && kind === ENDS) reads++
    return kind === ENDS ? { fail: { type: 'limited', retryAfter: 100 } } : 'none'
  }
  const counts: number[] = []
  for (let i = 0; i < 6; i++) {
    reads = 0
    await fleet.time.advance(10_000)
    counts.push(reads)
  }
  const most = 10_000 / RETRY_DELAY + 10_000 / CHECK_PERIOD
  t.true(counts.every(count => count <= most), `${counts.join(', ')} reads in 10 s each, ${Math.floor(most)} at most`)
})
