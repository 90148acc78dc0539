import 'reflect-metadata'
import test from 'ava'
import { pauseFor } from '../../src/kernel/pause-for.js'
import { findDomainLeader } from '../../src/peers/find-domain-leader.js'
import type { Member } from '../../src/peers/member.js'
import type { StoreError } from '../../src/store/store-error.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const DOMAINS: Readonly<Record<string, string>> = { d1: 'a', d2: 'a', d3: 'b', d4: 'b', d5: 'c' }
const MEMBERS = names.map(name => ({ instance: { name, failureDomain: DOMAINS[name] }, state: 'alive', run: 1 })) as unknown as readonly Member[]
const LEADER = findDomainLeader(MEMBERS, 'a')!
const FOLLOWER = names.find(name => DOMAINS[name] === 'a' && name !== LEADER)!
const OTHER_LEADER = findDomainLeader(MEMBERS, 'b')!
/** How long an item may wait while there is room for it, ms. */
const MAX_WAIT = 5_000
/** How long after its end was confirmed items of a job may start, ms. */
const MAX_LATE = 3_000
/** Longer than items may start on an old read while the store is unavailable, ms. */
const TROUBLE = 80_000
/** Time after which a read that isn't answered fails, ms. */
const READ_TIMEOUT = 1_001
const STEP = 50

type Answer = 'limited' | 'unavailable' | 'none'

interface Row {
  readonly title: string
  readonly owner: string
  /** Whether the store refuses look-ups to a daemon. */
  readonly isRefused: (name: string) => boolean
  readonly answer: Answer
  /** Whether a look-up of `from` at `to` is lost. */
  readonly isLost?: (from: string, to: string) => boolean
  /** Latency of a message between daemons, ms. */
  readonly latency?: number
  readonly isPaused?: boolean
}

const isIn = (...domains: readonly string[]) => (name: string): boolean => domains.includes(DOMAINS[name]!)

const rows: readonly Row[] = (['limited', 'unavailable', 'none'] as const).flatMap(answer => [
  { title: 'a follower alone', owner: FOLLOWER, isRefused: name => name === FOLLOWER, answer },
  { title: 'a leader alone', owner: LEADER, isRefused: name => name === LEADER, answer },
  { title: 'a failure domain', owner: FOLLOWER, isRefused: isIn('a'), answer },
  { title: 'a failure domain, for its leader', owner: LEADER, isRefused: isIn('a'), answer },
  { title: 'two of three failure domains', owner: FOLLOWER, isRefused: isIn('a', 'b'), answer },
  { title: 'all but one daemon', owner: LEADER, isRefused: name => name !== 'd5', answer },
  { title: 'a failure domain, with slow messages', owner: FOLLOWER, isRefused: isIn('a'), answer, latency: 150 },
  { title: 'a failure domain, with another leader unresponsive', owner: FOLLOWER, isRefused: isIn('a'), answer, isLost: (_, to) => to === OTHER_LEADER },
  { title: 'a failure domain, after a pause of the owner', owner: FOLLOWER, isRefused: isIn('a'), answer, isPaused: true }
])

class Trial {
  private readonly fleet = new JobFleet()
  private isTroubled = false

  constructor (private readonly row: Row) {
    const { fleet } = this
    const open = fleet.openStore
    fleet.findDomain = name => DOMAINS[name]!
    fleet.findLatency = () => row.latency ?? 1
    fleet.openStore = (name, clock) => {
      const store = open(name, clock)
      const watch: typeof store.watch = async (...args) => {
        if (!this.isTroubled || !row.isRefused(name)) return await store.watch(...args)
        if (row.answer === 'none') await pauseFor(clock, READ_TIMEOUT)
        return await store.watch(...args)
      }
      return new Proxy(store, { get: (target, key) => key === 'watch' ? watch : Reflect.get(target, key) as unknown })
    }
  }

  async begin (): Promise<void> {
    const { fleet, row } = this
    await fleet.start()
    await fleet.daemons.get(row.owner)!.owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
    await fleet.time.advance(2_000)
    fleet.loses = (from, to, { type }) => type.startsWith('job ends') && row.isLost?.(from, to) === true
    fleet.storeFault = (daemon, { call }) => call === 'watch' && row.isRefused(daemon) ? { fail: row.answer === 'limited' ? { type: 'limited', retryAfter: 100 } : { type: 'unavailable', reason: 'away' } satisfies StoreError } : 'none'
    this.isTroubled = true
    if (row.isPaused === true) await fleet.pause(row.owner, 2_000, true)
    if (row.isPaused === true) await fleet.time.advance(2_000)
  }

  /** Returns the longest time in which no item of the job could start, ms. */
  async findLongestWait (time: number): Promise<number> {
    let [longest, since] = [0, this.fleet.time.now()]
    for (const end = since + time; this.fleet.time.now() < end; await this.fleet.time.advance(STEP)) {
      if (this.mayStart()) since = this.fleet.time.now()
      longest = Math.max(longest, this.fleet.time.now() - since)
    }
    return longest
  }

  /** Ends the job while no message but look-ups arrives; returns when its items last could start, ms after that. */
  async end (): Promise<number> {
    const { fleet, row } = this
    fleet.loses = (from, to, { type }) => !type.startsWith('job ends') || row.isLost?.(from, to) === true
    if ((await fleet.daemons.get('d5')!.records.end(JOB)).err) throw new Error('the end was not stored')
    const ended = fleet.time.now()
    let last = 0
    for (; fleet.time.now() < ended + 10_000; await fleet.time.advance(STEP)) if (this.mayStart()) last = fleet.time.now() - ended
    return last
  }

  private mayStart (): boolean {
    const { owner, clock } = this.fleet.daemons.get(this.row.owner)!
    return owner.find(JOB)?.mayStart(clock.now()) ?? false
  }
}

// Guards against items that wait as long as the store refuses look-ups to the owner, its leader or its failure domain, while other daemons read it.
for (const row of rows) {
  test(`items start in time and none after the end of their job while the store refuses look-ups (${row.answer}) to ${row.title}`, async t => {
    const trial = new Trial(row)
    await trial.begin()
    const longest = await trial.findLongestWait(TROUBLE)
    t.true(longest <= MAX_WAIT, `no item could start for ${longest} ms`)
    const late = await trial.end()
    t.true(late <= MAX_LATE, `items could start ${late} ms after the end was confirmed`)
  })
}
