import 'reflect-metadata'
import test from 'ava'
import type { Job } from '../../src/batch/job.js'
import { createTestJob } from './helpers/create-test-job.js'
import { readLines } from './helpers/read-lines.js'
import { Simulation } from './helpers/simulation.js'

// What the caller sees: a job that goes on, though slowly. The only daemon stands still for two seconds out of every
// four, as on an instance that is short of processor time. After each pause it has to look at its chunks and jobs
// again before it starts anything; that must not keep it from starting at all.
test('a daemon that stands still again and again makes progress', async t => {
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

const CALL = 300

// What the caller sees: the same on a fleet that is short of processor time as a whole. Each daemon stands still for two
// seconds out of every four, and the platform's calls take 300 ms. After a pause nothing starts before a new look at the
// job; were that left to the next round of looks, two seconds later, most of the time between two pauses would be lost.
test('after a pause a daemon looks at its jobs at once', async t => {
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
