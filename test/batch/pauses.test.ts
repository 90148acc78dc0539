import 'reflect-metadata'
import test from 'ava'
import type { Job } from '../../src/batch/job.js'
import { createTestJob } from './helpers/create-test-job.js'
import { readLines } from './helpers/read-lines.js'
import { Simulation } from './helpers/simulation.js'

// The only daemon is paused for two of every four seconds, as on an overloaded instance. Guards against checks after
// each pause that leave no time to start items.
test('a daemon that is paused repeatedly makes progress', async t => {
  const simulation = await new Simulation().start(1)
  const job = await createTestJob(simulation.daemons[0]!, { count: 40, idempotent: i => i % 2 === 0 })
  const ended = async (): Promise<boolean> => (await simulation.daemons[0]!.jobs.read(job.id)).unwrap().status === 'completed'
  while (!await ended() && simulation.second < 200) {
    await simulation.step([{ type: 'pause', daemon: 0, at: simulation.second, length: 2 }])
    await simulation.run(3)
  }
  t.log(`ended after ${simulation.second} s`)
  t.true(await ended())
  t.is((await readLines(simulation.daemons[0]!, job)).size, 40)
  t.is(new Set(simulation.runs.map(({ item }) => item)).size, simulation.runs.length)
})

/** Duration in ms of a call to the platform. */
const CALL = 300

// Guards against daemons that wait for the next periodic check after a pause, and so lose most of the time until the
// next one.
test('after a pause a daemon checks its jobs at once', async t => {
  const simulation = await new Simulation({ runTime: 300, slots: 25 }).start(3)
  const job = await createTestJob(simulation.daemons[0]!, { count: 40, idempotent: i => i % 2 === 0 })
  for (const { store } of simulation.daemons) store.delay = CALL
  const ended = async (): Promise<boolean> => (await simulation.store.get<Job>('job', job.id)).unwrap().value.status === 'completed'
  while (!await ended() && simulation.second < 200) {
    const at = simulation.second
    await simulation.step([0, 1, 2].filter(daemon => (at + daemon) % 4 === 0).map(daemon => ({ type: 'pause', daemon, at, length: 2 })))
  }
  t.log(`ended after ${simulation.second} s`)
  t.true(simulation.second <= 13)
})
