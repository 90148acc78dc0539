import 'reflect-metadata'
import test from 'ava'
import { Err, Ok } from 'ts-results'
import { rankOwners } from '../../src/coordination/rank-owners.js'
import { JobAdoption } from '../../src/jobs/job-adoption.js'
import type { KnownJob } from '../../src/jobs/registry/known-job.js'
import type { UnownedJob } from '../../src/jobs/unowned-job.js'
import { pauseFor } from '../../src/kernel/pause-for.js'
import { JobFleet } from '../helpers/job-fleet.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const { items, names } = JobFleet
const JOB = 'j'
const NEW_JOB = { host: 'h', path: '/jobs/' }

function listOwners (fleet: JobFleet): readonly string[] {
  return [...fleet.daemons.values()].filter(({ clock, owner }) => !clock.isPaused && owner.find(JOB) !== undefined).map(({ name }) => name)
}

// Guards against a job that waits for a daemon which is a member and can't reach the store.
test('a job whose first successor never reaches the store is taken over by the next in rank', async t => {
  const fleet = new JobFleet()
  await fleet.start()
  await fleet.daemons.get(names[0]!)!.owner.accept(JOB, NEW_JOB, items)
  const [first, second] = rankOwners(JOB, names.slice(1))
  fleet.storeFault = daemon => daemon === first ? { fail: { type: 'unavailable', reason: 'cut off' } } : 'none'
  await fleet.time.advance(1_000)
  fleet.kill(names[0]!)
  await fleet.time.advance(8_000)
  t.deepEqual(listOwners(fleet), [second])
})

/** Runs an adoption whose takeovers of some jobs take `time` ms and of others fail; returns the attempts with their times, ms. */
async function adopt (jobs: readonly string[], { time, advance }: { readonly time: (id: string) => number, readonly advance: number }): Promise<readonly string[]> {
  const [clock, attempts] = [new VirtualClock(), [] as string[]]
  const owner = {
    find: () => undefined,
    adopt: async (id: string) => {
      attempts.push(`${id} at ${clock.now()}`)
      await pauseFor(clock, time(id))
      return id.startsWith('missing') ? Err({ type: 'missing' } as const) : id.startsWith('away') ? Err({ type: 'unavailable', reason: '' } as const) : Ok(undefined)
    }
  }
  const list = (): readonly UnownedJob[] => jobs.filter((_, i) => clock.now() >= i * 1_000).map((id, i) => ({ job: { id, submittedAt: i } as unknown as KnownJob, reason: 'ended', since: 0 }))
  void new JobAdoption(owner, { get: () => undefined, publish: () => {}, publishSeen: () => {} }, { update: list }, { owners: () => ['d'], all: () => [] }, { instance: 'd' }, { write: () => {} }, clock).start()
  await clock.advance(advance)
  return attempts
}

// Guards against a job that waits until all jobs found before it have been read.
test('a job found while another one is being read slowly is taken over at once', async t => {
  t.true((await adopt(['slow', 'other'], { time: id => id === 'slow' ? 60_000 : 10, advance: 2_000 })).some(attempt => attempt.startsWith('other at 1000')))
})

// Guards against reads each second for a job whose items were never stored.
test('a job is tried again each second while the store is away, and each 4 s while it is not stored whole', async t => {
  t.is((await adopt(['away'], { time: () => 10, advance: 9_000 })).length, 6)
  t.is((await adopt(['missing'], { time: () => 10, advance: 9_000 })).length, 2)
})
