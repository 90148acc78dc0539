import 'reflect-metadata'
import test from 'ava'
import { createTestJob } from './helpers/create-test-job.js'
import { Simulation } from './helpers/simulation.js'

const DAY = 86_400_000
const KINDS = ['job', 'file', 'items', 'chunk', 'part', 'work', 'expiry', 'caller-job', 'caller-file', 'file-job']

// Guards against unread results that are removed, and against objects that remain after a job has been removed.
test('results that have been read are removed with all objects of their job when they expire, unread ones stay', async t => {
  const simulation = await new Simulation().start(2)
  const [daemon] = simulation.daemons
  const job = await createTestJob(daemon!, { count: 300 })
  await simulation.run(60)
  const skip = async (days: number): Promise<void> => {
    simulation.shift.ms += days * DAY
    await simulation.run(180)
  }
  await skip(80)
  t.is((await daemon!.jobs.read(job.id)).unwrap().status, 'completed')
  await daemon!.jobs.update(job.id, job => ({ ...job, read: daemon!.clock.date() }))
  await skip(29)
  t.true((await daemon!.jobs.read(job.id)).ok)
  for (let i = 0; i < 4; i++) await skip(1)
  const left = KINDS.filter(kind => simulation.store.objects.list(kind, '', '', 1).length > 0)
  t.deepEqual(left, [])
})
