import 'reflect-metadata'
import test from 'ava'
import { Err, Ok } from 'ts-results'
import type { JobHeader } from '../../src/jobs/job-header.js'
import type { KnownJob } from '../../src/jobs/registry/known-job.js'
import { StoredJobSearch } from '../../src/jobs/stored-job-search.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

/** Runs the search of a daemon that is alone for 12 s; a job is stored `age` ms before the second listing. Returns what it did. */
async function search ({ age, fails = () => false }: { readonly age: number, readonly fails?: (time: number) => boolean }): Promise<readonly string[]> {
  const [clock, actions, known] = [new VirtualClock(), [] as string[], new Map<string, KnownJob>()]
  let listings = 0
  const listHeaders = async () => {
    if (fails(clock.now())) return Err({ type: 'unavailable', reason: '' } as const)
    const header: JobHeader = { host: 'h', path: '/', submittedAt: clock.date() - age, total: 1, tokens: 1, owner: 'd2', run: 1, parts: 1 }
    return Ok(new Map(listings++ === 0 ? [] : [['j', header]]))
  }
  const registry = {
    get: (id: string) => known.get(id),
    addIfAbsent: (job: KnownJob) => { known.set(job.id, job); actions.push('added') },
    publishSeen: () => { actions.push('published') }
  }
  const members = { all: () => [], owners: () => ['d1'] }
  void new StoredJobSearch(registry, { listHeaders }, members, { instance: 'd1' }, { write: () => {} }, clock).start()
  await clock.advance(12_000)
  return actions
}

// Guards against a job that stays in the store alone, and against a publication of each job whose acceptance is in progress.
test('a job that the registry lacks is added, and published unless it has just been submitted', async t => {
  t.deepEqual(await search({ age: 5_000 }), ['added', 'published'])
  t.deepEqual(await search({ age: 500 }), ['added'])
})

// Guards against a daemon that gives up after its first listing failed.
test('the store is listed until that succeeds', async t => {
  t.deepEqual(await search({ age: 5_000, fails: time => time < 4_000 }), ['added', 'published'])
})
