import 'reflect-metadata'
import test from 'ava'
import { Ok } from 'ts-results'
import { EndedJobWatch } from '../../src/jobs/ended-job-watch.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import { Metrics } from '../../src/observe/metrics.js'
import { JobFleet } from '../helpers/job-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const { items, names } = JobFleet
const JOB = 'j'
/** A daemon that doesn't lead its failure domain. */
const OWNER = names[4]!
/** How long the store sends changes without their lists, and by when items start again after that, ms: a retry and a check. */
const TROUBLE = 6_000
const RECOVERY = 1_500

// Guards against an owner whose items wait for good, and whose process may end, after one look-up that failed by an exception.
for (const { title, readers } of [{ title: 'the owner', readers: [OWNER] }, { title: 'each daemon', readers: names }]) {
  test(`items start again after malformed changes of the ends reached ${title}`, async t => {
    const fleet = new JobFleet()
    const open = fleet.openStore
    let isTroubled = false
    fleet.openStore = (name, clock) => {
      const store = open(name, clock)
      const watch = (async (...args) => isTroubled && readers.includes(name) ? Ok({ revision: 1 }) : await store.watch(...args)) as typeof store.watch
      return new Proxy(store, { get: (target, key) => key === 'watch' ? watch : Reflect.get(target, key) as unknown })
    }
    await fleet.start()
    const { owner, clock } = fleet.daemons.get(OWNER)!
    await owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
    isTroubled = true
    fleet.loses = (_from, _to, { type }) => type.startsWith('job ends')
    await fleet.time.advance(TROUBLE)
    t.false(owner.find(JOB)!.mayStart(clock.now()))
    isTroubled = false
    fleet.loses = () => false
    await fleet.time.advance(RECOVERY)
    t.true(owner.find(JOB)!.mayStart(clock.now()))
  })
}

// Guards against a malformed answer of a domain leader that ends the process that asked.
test('an owner reads the store itself where its leader sends a malformed answer', async t => {
  const fleet = new JobFleet()
  await fleet.start()
  const { owner, clock } = fleet.daemons.get(OWNER)!
  await owner.accept(JOB, { host: 'h', path: '/jobs/' }, items)
  fleet.loses = (_from, _to, message) => {
    if (message.type === 'job ends answer') Object.assign(message, { answer: { age: 0 } })
    return false
  }
  await fleet.time.advance(TROUBLE)
  t.true(owner.find(JOB)!.mayStart(clock.now()))
})

// Guards against a watch that makes no further look-up once one has thrown.
test('ends are looked up again after a look-up that throws', async t => {
  const clock = new VirtualClock()
  let lookups = 0
  const find = async (): Promise<never> => {
    lookups++
    throw new Error('not expected')
  }
  const job = { id: JOB, ended: false, isDone: false, lastRead: {}, acceptedAt: 0 }
  const owner = { list: () => [job], end: () => {}, forget: () => {}, applyRecordedOwners: () => {} } as unknown as ConstructorParameters<typeof EndedJobWatch>[0]
  const watch = new EndedJobWatch(owner, { hasItems: async () => Ok(true) }, { find }, new PauseWatch(clock), new Metrics(), { resultKeep: 1 }, { write: () => {} }, clock)
  await watch.start()
  await clock.advance(TROUBLE)
  t.true(lookups >= 4, `${lookups} look-ups in ${TROUBLE} ms`)
})
