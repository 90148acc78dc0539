import 'reflect-metadata'
import test from 'ava'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const NEW_JOB = { host: 'h', path: '/jobs/' }

// Guards against two sets of one job's items at one daemon, which would both run.
test('a job that is taken over while its acceptance is in progress is added once', async t => {
  const fleet = new JobFleet()
  await fleet.start()
  fleet.storeDelay = 200
  const { owner } = fleet.daemons.get(names[0]!)!
  void owner.accept(JOB, NEW_JOB, items)
  fleet.storeFault = (_daemon, { call, kind }) => {
    if (call === 'put' && kind === 'jobs') fleet.storeDelay = 20
    return 'none'
  }
  const found = new Set<unknown>()
  for (let i = 0; i < 100; i++) {
    void owner.adopt(JOB)
    await fleet.time.advance(20)
    const job = owner.find(JOB)
    if (job !== undefined) found.add(job)
  }
  t.is(found.size, 1)
})
