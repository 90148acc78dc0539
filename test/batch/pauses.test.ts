import 'reflect-metadata'
import test from 'ava'
import { createTrialJob } from './helpers/create-trial-job.js'
import { readLines } from './helpers/read-lines.js'
import { Trial } from './helpers/trial.js'

// What the caller sees: a job that goes on, though slowly. The only daemon stands still for two seconds out of every
// four, as on an instance that is short of processor time. After each pause it has to look at its chunks and jobs
// again before it starts anything; that must not keep it from starting at all.
test('a daemon that stands still again and again makes progress', async t => {
  const trial = await new Trial().start(1)
  const job = await createTrialJob(trial.daemons[0]!, { count: 40, idempotent: i => i % 2 === 0 })
  const ended = async (): Promise<boolean> => (await trial.daemons[0]!.jobs.read(job.id)).unwrap().status === 'completed'
  while (!await ended() && trial.second < 200) {
    await trial.step([{ type: 'pause', daemon: 0, at: trial.second, length: 2 }])
    await trial.run(3)
  }
  t.log(`ended after ${trial.second} s`)
  t.true(await ended())
  t.is((await readLines(trial.daemons[0]!, job)).size, 40)
  t.is(new Set(trial.runs.map(({ item }) => item)).size, trial.runs.length)
})
