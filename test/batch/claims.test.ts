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

// What the caller sees: a job of 420 items, every seventh not to be repeated, and its results.
// Daemons are killed, replaced, paused past their leases and resumed; the platform is down for minutes, loses
// replies to writes and gives old reads; all in random order. Whatever a holder believes, the version of the chunk
// decides, so each item ends with one result that never changes, and no non-idempotent item runs twice.
test('one result an item, the same on every later read, under random faults', async t => {
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

// What the caller sees: the same job, whichever daemon it is sent to. Four daemons get the same upload and the same
// job at the same time, with replies to writes lost: ids follow from caller, content and key, so all of them meet in
// the same objects, and exactly one of them counts it as accepted.
test('a job sent again, also at the same time through another daemon, is the same job', async t => {
  const simulation = await new Simulation().start(4)
  simulation.faults.lostUntil = 5
  const sent = await Promise.all(simulation.daemons.map(async daemon => await createTestJob(daemon, { count: 450 })))
  t.is(new Set(sent.map(({ id }) => id)).size, 1)
  t.is(new Set(sent.map(({ acceptance }) => acceptance)).size, 1)
  await simulation.run(90)
  t.is(simulation.runs.length, 450)
  t.is((await readLines(simulation.daemons[0]!, sent[0]!)).size, 450)
})

// What the caller sees: the results, as after any other night. Each daemon in turn ends gracefully and is replaced
// while items run; it lets what runs end and lets go of its chunks, so no item runs a second time.
test('every daemon replaced one by one: nothing runs twice', async t => {
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

// What the caller sees: its job goes on within seconds. A daemon dies with chunks claimed, long before its lease
// ends; once it is gone from the list of instances its successor by hashing frees its chunks from one read.
test('what a dead daemon held is taken over before its lease ends', async t => {
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
