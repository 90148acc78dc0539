import 'reflect-metadata'
import test from 'ava'
import { Err, Ok, type Result } from 'ts-results'
import type { Job } from '../../src/batch/job.js'
import { JobWatch } from '../../src/batch/job-watch.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import type { StoreError } from '../../src/store/store-error.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const JOB = 'job-1'

// The job is cancelled while the holder is paused during a read. Guards against the old result, followed by a failed
// read, passing for the beginning of an outage, in which items may start for 60 s.
test('a read from before a pause, followed by one that fails, allows no starts', async t => {
  const clock = new VirtualClock()
  const answers: Array<(answer: Result<Job, StoreError>) => void> = []
  const read = async (): Promise<Result<Job, StoreError>> => await new Promise(resolve => answers.push(resolve))
  const pauses = new PauseWatch(clock)
  const watch = new JobWatch({ read } as never, {} as never, clock, pauses)
  const inProgress = Ok({ id: JOB, status: 'in_progress' } as Job)
  void watch.check(JOB)
  answers.shift()!(inProgress)
  await clock.advance(100)
  t.true(watch.mayStart(JOB))
  void watch.check(JOB)
  clock.pause(6_000)
  pauses.check()
  answers.shift()!(inProgress)
  await clock.advance(0)
  for (const answer of answers.splice(0)) answer(Err({ type: 'unavailable', reason: 'reset' }))
  await clock.advance(0)
  t.false(watch.mayStart(JOB))
  void watch.check(JOB)
  for (const answer of answers.splice(0)) answer(inProgress)
  await clock.advance(0)
  t.true(watch.mayStart(JOB))
})

// Guards against rate-limited reads passing for an outage, in which items may start for 60 s.
test('a read refused because of its rate is not an outage', async t => {
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
