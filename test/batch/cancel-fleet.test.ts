import 'reflect-metadata'
import test from 'ava'
import { checkStopped, startJob } from './helpers/running-job.js'
import { createClient } from './helpers/process-fleet.js'

// What the caller sees: its cancelling acknowledged by a daemon that holds none of the job's chunks. All daemons hear of it.
test('a job cancelled while it runs: no item begins after the bound', async t => {
  const running = await startJob(t)
  const other = (running.holder + 1) % 3
  await createClient(running.fleet, other).batches.cancel(running.job)
  await checkStopped(t, running, other, Date.now())
})

// What the caller sees: a refusal, because the cancelling can't be made durable while the platform is out; the job goes
// on. Sent again when the platform is back it is acknowledged, and the bound holds from there.
test('a job cancelled in an outage of the platform: refused, then the bound holds', async t => {
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
