import 'reflect-metadata'
import test from 'ava'
import { Err, Ok, type Result } from 'ts-results'
import type { Job } from '../../src/batch/job.js'
import { JobWatch } from '../../src/batch/job-watch.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import type { StoreError } from '../../src/store/store-error.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const JOB = 'job-1'

// What the caller sees: items of its cancelled job, up to 60 s late. A look at the job is on its way when the holder is
// frozen, and the job is cancelled. At the thaw the answer that lay there says that it goes on, and the look that the
// pause asks for fails. Together they read like an outage that has just begun, in which items start for 60 s.
test('a look from before a pause, and one after it that fails, start nothing', async t => {
  const clock = new VirtualClock()
  const answers: Array<(answer: Result<Job, StoreError>) => void> = []
  const read = async (): Promise<Result<Job, StoreError>> => await new Promise(resolve => answers.push(resolve))
  const pauses = new PauseWatch(clock)
  const watch = new JobWatch({ read } as never, {} as never, clock, pauses)
  const goesOn = Ok({ id: JOB, status: 'in_progress' } as Job)
  void watch.check(JOB)
  answers.shift()!(goesOn)
  await clock.advance(100)
  t.true(watch.mayStart(JOB))
  void watch.check(JOB)
  clock.freeze(6_000)
  pauses.check()
  answers.shift()!(goesOn)
  await clock.advance(0)
  for (const answer of answers.splice(0)) answer(Err({ type: 'unavailable', reason: 'reset' }))
  await clock.advance(0)
  t.false(watch.mayStart(JOB))
  void watch.check(JOB)
  for (const answer of answers.splice(0)) answer(goesOn)
  await clock.advance(0)
  t.true(watch.mayStart(JOB))
})

// What the caller sees: items of its cancelled job, up to 60 s late, at a daemon that the platform answers all the while: it refuses
// its looks for their rate, which reads like an outage.
test('a look that the platform refuses for its rate is no outage', async t => {
  const clock = new VirtualClock()
  let answer: Result<Job, StoreError> = Ok({ id: JOB, status: 'in_progress' } as Job)
  const list = async (): Promise<Result<never, StoreError>> => Err({ type: 'limited', retryAfter: 1_000 })
  const watch = new JobWatch({ read: async () => answer } as never, { list } as never, clock, new PauseWatch(clock))
  await watch.start()
  await watch.check(JOB)
  answer = Err({ type: 'limited', retryAfter: 1_000 })
  for (let second = 0; second < 6; second++) {
    await clock.advance(1_000)
    void watch.check(JOB)
  }
  await clock.advance(0)
  t.false(watch.mayStart(JOB))
})
