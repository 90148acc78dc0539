import 'reflect-metadata'
import test from 'ava'
import { checkStopped, startJob } from './helpers/running-job.js'
import { createClient } from './helpers/process-fleet.js'

// The daemon that acknowledges the cancellation holds none of the job's chunks and has to notify the others.
test('a job cancelled while it runs: no item starts after the bound', async t => {
  const running = await startJob(t)
  const other = (running.holder + 1) % 3
  await createClient(running.fleet, other).batches.cancel(running.job)
  await checkStopped(t, running, other, Date.now())
})

// During an outage a cancellation can't be made durable, so it must be refused; once it is accepted, the bound
// applies.
test('a job cancelled during an outage of the platform: refused first, then no item starts after the bound', async t => {
  const running = await startJob(t)
  const { fleet, holder } = running
  const other = (holder + 1) % 3
  const client = createClient(fleet, other)
  await fleet.setPlatformFaults({ outage: 'refused' })
  await t.throwsAsync(async () => await client.batches.cancel(running.job), { message: /503/ })
  await fleet.setPlatformFaults({})
  let acknowledged = 0
  await fleet.waitUntil(async () => await client.batches.cancel(running.job).then(() => { acknowledged = Date.now() }, () => {}) === undefined && acknowledged > 0)
  await checkStopped(t, running, other, acknowledged)
})
