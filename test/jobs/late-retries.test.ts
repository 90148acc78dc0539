import 'reflect-metadata'
import test from 'ava'
import { Err, Ok } from 'ts-results'
import { rankOwners } from '../../src/coordination/rank-owners.js'
import { JobAdoption } from '../../src/jobs/job-adoption.js'
import type { KnownJob } from '../../src/jobs/registry/known-job.js'
import type { UnownedJob } from '../../src/jobs/unowned-job.js'
import { pauseFor } from '../../src/kernel/pause-for.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const NAMES = Array.from({ length: 24 }, (_, i) => `d${i}`)
const JOBS = ['a', 'b', 'c', 'd', 'e']
/** How long the store refuses all daemons, ms: longer than a job is left to all daemons that rank before the last. */
const TROUBLE = 35_000
/** How long after that all jobs have an owner, ms, and how long a takeover takes. */
const BOUND = 13_000
const TAKEOVER = 10
const MINUTE = 60_000

interface Attempt { readonly job: string, readonly at: number, readonly ok: boolean }

/** Runs all daemons for whose takeovers the store decides by `serves`. Returns their attempts. */
async function run (serves: (name: string, job: string, now: number) => boolean, time: number): Promise<readonly Attempt[]> {
  const clock = new VirtualClock()
  const attempts: Attempt[] = []
  const taken = new Set<string>()
  const listUnowned = (): readonly UnownedJob[] => JOBS.filter(id => !taken.has(id)).map((id, i) => ({ job: { id, submittedAt: i, owner: 'gone', run: 1 } as unknown as KnownJob, reason: 'ended', since: 0 }))
  for (const name of NAMES) {
    const adopt = async (job: string) => {
      const ok = serves(name, job, clock.now())
      attempts.push({ job, at: clock.now(), ok })
      await pauseFor(clock, TAKEOVER)
      if (ok) taken.add(job)
      return ok ? Ok(undefined) : Err({ type: 'limited', retryAfter: 100 } as const)
    }
    void new JobAdoption({ find: () => undefined, adopt }, { get: () => undefined, publish: () => {}, publishSeen: () => {} }, { update: listUnowned }, { owners: () => NAMES, all: () => [] }, { instance: name }, { write: () => {} }, clock).start()
  }
  await clock.advance(time)
  return attempts
}

// Guards against a job that waits longer for the only daemon that the store serves again, the later that one ranks.
for (const place of [0, 2, 12, 23]) {
  test(`jobs are taken over soon by the only daemon that the store serves again, for one of them behind ${place} others`, async t => {
    const served = rankOwners(JOBS[0]!, NAMES)[place]
    const attempts = await run((name, _, now) => now >= TROUBLE && name === served, TROUBLE + BOUND)
    t.deepEqual(attempts.filter(({ ok }) => ok).map(({ job }) => job).sort(), JOBS)
  })
}

// Guards against a job that a daemon never tries since another one, which it tries first, fails each time.
test('a daemon that can take over one of its jobs only does so soon', async t => {
  const last = rankOwners('c', NAMES)[23]!
  const attempts = await run((name, job, now) => now >= TROUBLE && job === 'c' && name === last, TROUBLE + JOBS.length * BOUND)
  t.deepEqual(attempts.filter(({ ok }) => ok).map(({ job }) => job), ['c'])
})

// Guards against calls to a store that refuses all daemons that grow with the number of jobs.
test('a daemon that ranks late for several jobs tries one at a time', async t => {
  const attempts = await run(() => false, TROUBLE + MINUTE)
  const late = attempts.filter(({ at }) => at >= TROUBLE).length
  t.log(`${attempts.filter(({ at }) => at < 30_000).length} attempts in the first 30 s, ${late} in a minute later`)
  const most = JOBS.length * (MINUTE / 1_000 + MINUTE / 5_000 + 2) + NAMES.length * (Math.ceil(MINUTE / 9_000) + 1)
  t.true(late <= most, `${late} attempts in a minute, ${most} at most`)
})
