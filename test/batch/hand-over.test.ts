import 'reflect-metadata'
import test from 'ava'
import { createTestJob } from './helpers/create-test-job.js'
import { Simulation } from './helpers/simulation.js'

const STEP = 100
const RUN_TIME = 200

async function measureHandOver (daemons: number, drainAt: number, call: number): Promise<number> {
  const simulation = await new Simulation({ runTime: RUN_TIME, links: true }).start(daemons)
  await createTestJob(simulation.daemons[0]!, { count: 200 })
  for (const { store } of simulation.daemons) store.delay = call
  while (simulation.runs.length === 0) await simulation.clock.advance(STEP)
  await simulation.clock.advance(drainAt)
  const holder = simulation.daemons.find(({ name }) => name === simulation.runs.at(-1)!.daemon)!
  void holder.source.drain()
  const drainStarted = simulation.clock.now()
  while (simulation.runs.every(({ daemon }) => daemon === holder.name) && simulation.clock.now() < drainStarted + 70_000) await simulation.clock.advance(STEP)
  return simulation.clock.now() - drainStarted
}

// Other daemons have found the chunk held and skip it for a while. Guards against a job that waits although they have
// capacity.
test('a released chunk is claimed by another daemon within a few calls', async t => {
  for (const [daemons, call] of [[2, 100], [3, 100], [12, 100]] as const) {
    const times: number[] = []
    for (let drainAt = 0; drainAt < 5_000; drainAt += 300) times.push(await measureHandOver(daemons, drainAt, call))
    const mean = times.reduce((sum, time) => sum + time) / times.length
    t.log(`${daemons} daemons, calls of ${call} ms: taken over after ${Math.min(...times)} to ${Math.max(...times)} ms, ${Math.round(mean)} on average`)
    t.true(Math.max(...times) <= RUN_TIME + 20 * call)
  }
})
