import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import type { JobItem } from '../../src/jobs/job-item.js'
import { JobRecords } from '../../src/jobs/job-records.js'
import { mergeBodies } from '../../src/jobs/merge-bodies.js'
import { splitBodies } from '../../src/jobs/split-bodies.js'
import { JobFleet } from '../helpers/job-fleet.js'

/** The largest value of the store, bytes. */
const VALUE_BYTES = 1_000_000
const LARGE = 3_000_000

function createItem (id: string, length: number): JobItem {
  return { id, path: '/jobs/1', headers: {}, body: id.repeat(length), tokens: 1 }
}

// Guards against bodies that are lost, repeated or given to another item.
test('items are as they were after their bodies are split and merged', t => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 50 }), { maxLength: 20 }), fc.integer({ min: 1, max: 20 }), (lengths, limit) => {
    const items = lengths.map((length, i) => createItem(String.fromCharCode(97 + i), length))
    const stored = splitBodies(items, limit)
    t.deepEqual(mergeBodies(stored), items)
    t.true(stored.every(entry => ('id' in entry ? entry.body : entry.continued).length <= limit))
  }))
})

// Guards against a job inside the limits that is refused again and again, since one of its items doesn't fit into an object of the store.
test('an item that no object holds is stored in several', async t => {
  const fleet = new JobFleet()
  await fleet.start()
  const records = new JobRecords(fleet.store)
  const items = [createItem('a', 10), createItem('b', LARGE), createItem('c', 10)]
  t.true((await records.create('j', { host: 'h', path: '/jobs/', submittedAt: 0, total: items.length, tokens: items.length, owner: 'edge-0', run: 0 }, items)).ok)
  const header = (await records.readHeader('j')).unwrap()
  const sizes = await Promise.all(Array.from({ length: header.parts }, async (_, i) => JSON.stringify((await fleet.store.get('job-items', `j.${i}`)).unwrap().value).length))
  t.true(Math.max(...sizes) <= VALUE_BYTES, String(sizes))
  t.deepEqual((await records.readItems('j', header)).unwrap(), items)
})

// Guards against a job inside the limits that the store refuses each time, because of headers or paths that no size counted.
test('items with long headers and paths are split over objects that the store holds', async t => {
  const fleet = new JobFleet()
  await fleet.start()
  const records = new JobRecords(fleet.store)
  const items = Array.from({ length: 200 }, (_, n) => ({ ...createItem(String(n % 10), 2_000), path: `/jobs/${'p'.repeat(4_000)}`, headers: { 'X-Model': '"'.repeat(8_000) } }))
  t.true((await records.create('j', { host: 'h', path: '/jobs/', submittedAt: 0, total: items.length, tokens: items.length, owner: 'edge-0', run: 0 }, items)).ok)
  const header = (await records.readHeader('j')).unwrap()
  const sizes = await Promise.all(Array.from({ length: header.parts }, async (_, i) => JSON.stringify((await fleet.store.get('job-items', `j.${i}`)).unwrap().value).length))
  t.true(Math.max(...sizes) <= VALUE_BYTES, String(sizes))
  t.deepEqual((await records.readItems('j', header)).unwrap(), items)
})
