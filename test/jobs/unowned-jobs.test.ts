import 'reflect-metadata'
import test from 'ava'
import { UnownedJobs } from '../../src/jobs/unowned-jobs.js'
import type { KnownJob } from '../../src/jobs/registry/known-job.js'
import { Metrics } from '../../src/observe/metrics.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const [SELF, RUN] = ['d1', 7]
const JOB: KnownJob = { id: 'j', host: 'h', path: '/', submittedAt: 1, owner: SELF, run: RUN, tokensLeft: 1, stored: true, closed: false }

function start (job: KnownJob, { held = false, alive = [SELF] }: { readonly held?: boolean, readonly alive?: readonly string[] } = {}): { readonly clock: VirtualClock, readonly metrics: Metrics, readonly lines: unknown[], readonly unowned: UnownedJobs } {
  const [clock, metrics, lines] = [new VirtualClock(), new Metrics(), [] as unknown[]]
  const owner = { find: () => held ? {} as never : undefined, isOwnerAlive: ({ owner, run }: Pick<KnownJob, 'owner' | 'run'>) => alive.includes(owner) && run === RUN }
  const members = { run: RUN, findRun: (name: string) => alive.includes(name) ? RUN : undefined }
  const unowned = new UnownedJobs(owner, { list: () => [job] }, members, metrics, { instance: SELF }, { write: (_level, _part, text, fields) => { lines.push({ text, ...fields }) } }, clock)
  return { clock, metrics, lines, unowned }
}

// Guards against a job that nobody runs and that shows in no log and no metric.
test('a job attributed to this daemon that it does not have is logged once and counted', async t => {
  const { clock, metrics, lines, unowned } = start(JOB)
  t.is(unowned.update()[0]?.reason, 'not held')
  await clock.advance(3_000)
  unowned.update()
  unowned.update()
  t.deepEqual(lines, [{ text: 'found a job without an owner', job: 'j', reason: 'not held', owner: SELF, run: RUN, age: 3_000 }])
  t.regex(metrics.write(), /jobs_without_owner 1\n.*jobs_unowned_seconds 3\n/)
})

for (const [name, job, options, reason] of [
  ['one that this daemon has', JOB, { held: true }, []],
  ['one of a live daemon', { ...JOB, owner: 'd2' }, { alive: ['d2'] }, []],
  ['a closed one', { ...JOB, closed: true }, {}, []],
  ['one of an earlier process of this daemon', { ...JOB, run: RUN - 1 }, {}, ['ended']],
  ['a released one', { ...JOB, owner: '', run: 0 }, {}, ['ended']],
  ['one of a process that membership has not told of', { ...JOB, owner: 'd2' }, {}, ['unknown']]
] as const) {
  test(`which jobs have no owner: ${name}`, t => {
    t.deepEqual(start(job, options).unowned.update().map(found => found.reason), reason)
  })
}

// Guards against a job that was just given away and is taken back at once, and against a wait that begins anew whenever membership changes.
test('a job keeps its time while what is known of its owner changes, but not once this daemon is named as the owner', async t => {
  const clock = new VirtualClock()
  let step: { readonly owner: string, readonly latest?: number } = { owner: 'd2' }
  const unowned = new UnownedJobs({ find: () => undefined, isOwnerAlive: () => false }, { list: () => [{ ...JOB, owner: step.owner }] }, { run: RUN, findRun: () => step.latest }, new Metrics(), { instance: SELF }, { write: () => {} }, clock)
  const found: unknown[] = []
  for (step of [{ owner: 'd2' }, { owner: 'd2', latest: RUN }, { owner: 'd2' }, { owner: SELF }, { owner: SELF }]) {
    await clock.advance(500)
    found.push(...unowned.update().map(({ reason, since }) => `${reason} since ${since}`))
  }
  t.deepEqual(found, ['unknown since 500', 'lost since 500', 'unknown since 500', 'not held since 2000', 'not held since 2000'])
})
