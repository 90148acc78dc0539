import 'reflect-metadata'
import test from 'ava'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items, names } = JobFleet
const JOB = 'j'
const NEW_JOB = { host: 'h', path: '/jobs/' }

// Guards against an owner that gives its job to a daemon which had it long ago.
test('an owner keeps a job that an outdated publication attributes to another daemon', async t => {
  for (const stale of names.slice(1)) {
    const fleet = new JobFleet()
    await fleet.start()
    const { owner, registry } = fleet.daemons.get(names[0]!)!
    await owner.accept(JOB, NEW_JOB, items)
    await fleet.time.advance(1_000)
    const entry = { ...registry.get(JOB)!, owner: stale, version: 0 }
    const handlers = registry.extensions.map(({ value }) => value as PeerHandler)
    handlers.find(({ type }) => type === 'job seen')!.handle({ type: 'job seen', job: entry }, stale)
    t.truthy(owner.find(JOB), stale)
    await fleet.time.advance(5_000)
    t.deepEqual([...fleet.daemons.values()].filter(other => other.owner.find(JOB) !== undefined).map(({ name }) => name), [names[0]])
  }
})
