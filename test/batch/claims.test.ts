import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { addCounts } from '../../src/batch/add-counts.js'
import { createTestJob } from './helpers/create-test-job.js'
import { readLines } from './helpers/read-lines.js'
import { Simulation } from './helpers/simulation.js'
import { faultEvents } from './helpers/fault-events.js'

const SEED = 20261202
const RUNS = 40
const ITEMS = 420
const SECONDS = 400

// Guards against results that change and non-idempotent items that run twice, when daemons are killed, replaced or
// paused beyond their leases, and the platform is unavailable, loses replies or returns old versions.
test('each item has one result, the same on every read, under random faults', async t => {
  await fc.assert(fc.asyncProperty(faultEvents, async events => {
    const simulation = await new Simulation().start(4)
    const reader = simulation.daemons[3]!
    const job = await createTestJob(reader, { count: ITEMS, idempotent: i => i % 7 !== 0 })
    const seen = new Map<string, string>()
    while (simulation.second < SECONDS) {
      await simulation.step(events)
      if (simulation.second % 20 !== 0 || simulation.second < simulation.faults.outageUntil) continue
      for (const [id, line] of await readLines(reader, job)) {
        assert.equal(seen.get(id) ?? line, line)
        seen.set(id, line)
      }
    }
    const ended = (await reader.jobs.read(job.id)).unwrap()
    const { completed, failed, cancelled } = addCounts(Object.values(ended.finished))
    const lines = await readLines(reader, job)
    assert.equal(ended.status, 'completed')
    assert.deepEqual([completed + failed, cancelled, lines.size], [ITEMS, 0, ITEMS])
    for (const [id, line] of lines) assert.equal(seen.get(id) ?? line, line)
    const once = simulation.runs.map(({ item }) => item).filter(item => Number(item.slice('item-'.length)) % 7 === 0)
    assert.equal(new Set(once).size, once.length)
  }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  t.pass()
})

// Four daemons receive the same upload and job at the same time, with replies to writes lost. Guards against a second
// job.
test('a repeated request gives the same job, even through several daemons at once', async t => {
  const simulation = await new Simulation().start(4)
  simulation.faults.lostUntil = 5
  const sent = await Promise.all(simulation.daemons.map(async daemon => await createTestJob(daemon, { count: 450 })))
  t.is(new Set(sent.map(({ id }) => id)).size, 1)
  t.is(new Set(sent.map(({ acceptance }) => acceptance)).size, 1)
  await simulation.run(90)
  t.is(simulation.runs.length, 450)
  t.is((await readLines(simulation.daemons[0]!, sent[0]!)).size, 450)
})

// Guards against items that run twice because a daemon exits before it has released its chunks.
test('a rolling restart of all daemons runs no item twice', async t => {
  const simulation = await new Simulation().start(3)
  const job = await createTestJob(simulation.daemons[0]!, { count: 600, idempotent: i => i % 2 === 0 })
  for (const n of [0, 1, 2]) {
    await simulation.run(6)
    const drained = simulation.daemons[n]!.source.drain()
    await simulation.run(4)
    await drained
    await simulation.step([{ type: 'replace', daemon: n, at: simulation.second }])
  }
  await simulation.run(90)
  const lines = await readLines(simulation.daemons[0]!, job)
  t.is(lines.size, 600)
  t.true([...lines.values()].every(line => JSON.parse(line).error === null))
  t.is(new Set(simulation.runs.map(({ item }) => item)).size, simulation.runs.length)
})

// Guards against a job that waits for the lease of a crashed daemon although the daemon has left the list of
// instances.
test('the chunks of a dead daemon are taken over before its lease expires', async t => {
  const simulation = await new Simulation().start(2)
  const job = await createTestJob(simulation.daemons[1]!, { count: 150 })
  const holder = async (): Promise<string> => (await simulation.store.get<any>('chunk', `${job.id}.0`)).unwrap().value.holder?.instance
  await simulation.run(3)
  const dead = Number((await holder()).slice('entry-'.length))
  simulation.kill(dead)
  const killed = simulation.second
  const results = async (): Promise<number> => (await readLines(simulation.daemons[1 - dead]!, job)).size
  while (await results() < 150 && simulation.second < 100) await simulation.step()
  t.is(await results(), 150)
  t.true(simulation.runs.some(({ daemon, at }) => daemon !== `entry-${dead}` && at < (killed + 15) * 1_000))
})
