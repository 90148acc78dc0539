import 'reflect-metadata'
import test from 'ava'
import { BOUND, checkStopped, startJob } from './helpers/running-job.js'
import { createClient } from './helpers/process-fleet.js'

// A paused holder misses the cancellation and resumes with items ready to run. It must check the job again before it
// starts any.
test('a job cancelled while a holder is paused: the holder starts no item after it resumes', async t => {
  const running = await startJob(t)
  const { fleet, holder } = running
  const paused = fleet.daemons[holder]!
  const other = (holder + 1) % 3
  t.teardown(() => paused.child.signal('SIGKILL'))
  paused.child.signal('SIGSTOP')
  await createClient(fleet, other).batches.cancel(running.job)
  const acknowledged = Date.now()
  await fleet.waitUntil(async () => Date.now() > acknowledged + BOUND)
  paused.child.signal('SIGCONT')
  await checkStopped(t, running, other, acknowledged)
})
