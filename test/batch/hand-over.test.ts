import 'reflect-metadata'
import test from 'ava'
import { createTrialJob } from './helpers/create-trial-job.js'
import { Trial } from './helpers/trial.js'

const STEP = 100
const RUN_TIME = 200

async function measureHandOver (daemons: number, drainAt: number, call: number): Promise<number> {
  const trial = await new Trial({ runTime: RUN_TIME, links: true }).start(daemons)
  await createTrialJob(trial.daemons[0]!, { count: 200 })
  for (const { store } of trial.daemons) store.delay = call
  while (trial.runs.length === 0) await trial.clock.advance(STEP)
  await trial.clock.advance(drainAt)
  const holder = trial.daemons.find(({ name }) => name === trial.runs.at(-1)!.daemon)!
  void holder.source.drain()
  const told = trial.clock.now()
  while (trial.runs.every(({ daemon }) => daemon === holder.name) && trial.clock.now() < told + 70_000) await trial.clock.advance(STEP)
  return trial.clock.now() - told
}

// What the caller sees: a job that stands still while a daemon is replaced, though others have nothing to do. They have
// found its chunk held and leave it alone for a while, the longer the larger the fleet is; the daemon that ends lets it go.
test('a chunk that is let go is taken by another daemon as soon as the calls allow', async t => {
  for (const [daemons, call] of [[2, 100], [3, 100], [12, 100]] as const) {
    const times: number[] = []
    for (let drainAt = 0; drainAt < 5_000; drainAt += 300) times.push(await measureHandOver(daemons, drainAt, call))
    const mean = times.reduce((sum, time) => sum + time) / times.length
    t.log(`${daemons} daemons, calls of ${call} ms: taken over after ${Math.min(...times)} to ${Math.max(...times)} ms, ${Math.round(mean)} on average`)
    t.true(Math.max(...times) <= RUN_TIME + 20 * call)
  }
})
