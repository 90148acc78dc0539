import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { Err, Ok, type Result } from 'ts-results'
import type { JobRecords } from '../../src/jobs/job-records.js'
import type { ListedResult } from '../../src/jobs/listed-result.js'
import { OwnedJob } from '../../src/jobs/owned-job.js'
import { ResultWriter } from '../../src/jobs/result-writer.js'
import type { StoredResult } from '../../src/jobs/stored-result.js'
import { PauseWatch } from '../../src/kernel/pause-watch.js'
import type { StoreError } from '../../src/store/store-error.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

/** How long the store fails, and within which time after that a result is stored: a delay after a failure and a period of writes, ms. */
const TROUBLE = 20_000
const END = 1_000
const COUNT = 3

const result = (id: string): ListedResult => ({ id, state: 'completed', text: 'x' })

/** The store's state of one job's segments, and how a write fails; `took effect` means that it is stored all the same. */
interface Trouble { readonly name: string, readonly error: StoreError, readonly takesEffect?: boolean, readonly failsReads?: boolean }

const troubles: readonly Trouble[] = [
  { name: 'does not answer', error: { type: 'unavailable', reason: 'silent' } },
  { name: 'limits its calls', error: { type: 'limited', retryAfter: 100 } },
  { name: 'writes and loses the answer', error: { type: 'unknown', reason: 'reset' }, takesEffect: true },
  { name: 'writes, loses the answer, and can not be read', error: { type: 'unknown', reason: 'reset' }, takesEffect: true, failsReads: true }
]

for (const { name, error, takesEffect = false, failsReads = false } of troubles) {
  // Guards against items that have ended at their owner and are never listed.
  test(`results are stored soon after the trouble of a store that ${name}`, async t => {
    const clock = new VirtualClock()
    const segments: Array<readonly ListedResult[]> = []
    const isTroubled = (): boolean => clock.now() < TROUBLE
    const createSegment = async (_: string, segment: number, results: readonly ListedResult[]): Promise<Result<void, StoreError>> => {
      if (segments[segment] !== undefined) return Err({ type: 'conflict', version: 1 })
      if (!isTroubled() || takesEffect) segments[segment] = results
      return isTroubled() ? Err(error) : Ok(undefined)
    }
    const readSegment = async (_: string, segment: number): Promise<Result<readonly ListedResult[], StoreError>> => isTroubled() && failsReads ? Err(error) : Ok(segments[segment]!)
    const writer = new ResultWriter({ records: { createSegment, readSegment } as unknown as JobRecords, clock, log: { write: () => {} }, isDraining: () => false, isOwned: () => true, onStored: () => {}, pauses: new PauseWatch(clock) })
    const items = Array.from({ length: COUNT }, (_, i) => ({ id: `i${i}`, path: '/x', headers: {}, body: '', tokens: 1 }))
    const job = new OwnedJob({ id: 'j', header: { host: 'h', path: '/', submittedAt: 0, total: COUNT, tokens: 0, owner: 'd', run: 1, parts: 1 }, items, segments: [], acceptedAt: 0 })
    for (const [i, state] of job.items.entries()) {
      clock.after(i * 5_000, () => {
        job.finish(state, result(state.item.id))
        void writer.store(job)
      })
    }
    await clock.advance(TROUBLE + END)
    t.deepEqual(job.readPage(0).results.map(({ id }) => id).sort(), ['i0', 'i1', 'i2'])
    t.deepEqual(segments.flat(), job.readPage(0).results)
  })
}

// Guards against results that are refused each time as too large together, because their size was taken for that of their characters.
test('results whose characters take several bytes are stored in segments that the store takes', async t => {
  const clock = new VirtualClock()
  const segments: Array<readonly ListedResult[]> = []
  const createSegment = async (_: string, segment: number, results: readonly ListedResult[]): Promise<Result<void, StoreError>> => {
    if (Buffer.byteLength(JSON.stringify(results)) > 1_000_000) return Err({ type: 'invalid', reason: 'too large' })
    segments[segment] = results
    return Ok(undefined)
  }
  const writer = new ResultWriter({ records: { createSegment } as unknown as JobRecords, clock, log: { write: () => {} }, isDraining: () => false, isOwned: () => true, onStored: () => {}, pauses: new PauseWatch(clock) })
  const items = Array.from({ length: COUNT }, (_, i) => ({ id: `i${i}`, path: '/x', headers: {}, body: '', tokens: 1 }))
  const job = new OwnedJob({ id: 'j', header: { host: 'h', path: '/', submittedAt: 0, total: COUNT, tokens: 0, owner: 'd', run: 1, parts: 1 }, items, segments: [], acceptedAt: 0 })
  for (const state of job.items) job.finish(state, { id: state.item.id, state: 'completed', text: '語'.repeat(160_000) })
  void writer.store(job)
  await clock.advance(TROUBLE)
  t.is(segments.flat().length, COUNT)
})

/** The largest value of the store, bytes, and how long a job's writer is given for large results, ms: a segment each 400 ms, and a second. */
const VALUE_BYTES = 1_000_000
const LARGE_TIME = 6_000

interface Stored { readonly segments: Array<readonly StoredResult[]>, readonly records: JobRecords }

/** Creates a store of one job's segments that refuses values over 1 MB. `lose` tells whether the answer to the write of a segment is lost. */
function createStore (lose: (segment: number) => boolean = () => false): Stored {
  const segments: Array<readonly StoredResult[]> = []
  const createSegment = async (_: string, segment: number, results: readonly StoredResult[]): Promise<Result<void, StoreError>> => {
    if (Buffer.byteLength(JSON.stringify(results)) > VALUE_BYTES) return Err({ type: 'invalid', reason: 'too large' })
    if (segments[segment] !== undefined) return Err({ type: 'conflict', version: 1 })
    segments[segment] = JSON.parse(JSON.stringify(results))
    return lose(segment) ? Err({ type: 'unknown', reason: 'lost' }) : Ok(undefined)
  }
  const readSegment = async (_: string, segment: number): Promise<Result<readonly StoredResult[], StoreError>> => Ok(segments[segment]!)
  return { segments, records: { createSegment, readSegment } as unknown as JobRecords }
}

function startWriter ({ records }: Stored, clock: VirtualClock, ids: readonly string[]): { readonly job: OwnedJob, readonly finish: (id: string, text: string) => void } {
  const writer = new ResultWriter({ records, clock, log: { write: () => {} }, isDraining: () => false, isOwned: () => true, onStored: () => {}, pauses: new PauseWatch(clock) })
  const items = ids.map(id => ({ id, path: '/x', headers: {}, body: '', tokens: 1 }))
  const job = new OwnedJob({ id: 'j', header: { host: 'h', path: '/', submittedAt: 0, total: ids.length, tokens: 0, owner: 'd', run: 1, parts: 1 }, items, segments: [], acceptedAt: 0 })
  const finish = (id: string, text: string): void => {
    job.finish(job.items.find(({ item }) => item.id === id)!, { id, state: 'completed', text })
    void writer.store(job)
  }
  return { job, finish }
}

function readAll (job: OwnedJob): readonly ListedResult[] {
  const results: ListedResult[] = []
  for (let page = job.readPage(0); page.results.length > 0; page = job.readPage(page.next)) results.push(...page.results)
  return results
}

const largeTexts: Readonly<Record<string, string>> = {
  'of ASCII': 'x'.repeat(1_200_000),
  'of characters of three bytes': '語'.repeat(500_000),
  'of surrogate pairs, from an odd position': `x${'😀'.repeat(300_000)}`,
  'of characters that JSON escapes': '\u0001"\n'.repeat(300_000),
  'that is just too large with what the store adds': 'x'.repeat(VALUE_BYTES - 60),
  'of three megabytes': 'abc'.repeat(1_000_000)
}

for (const [name, text] of Object.entries(largeTexts)) {
  for (const [trouble, lose] of Object.entries({ 'each answer arrives': () => false, 'each other answer is lost': (segment: number) => segment % 2 === 0 })) {
    // Guards against one result that blocks its job for good because it is larger than the largest value of the store.
    test(`a result ${name} is stored, and others of its job do not wait for it, where ${trouble}`, async t => {
      const clock = new VirtualClock()
      const store = createStore(lose)
      const { job, finish } = startWriter(store, clock, ['large', 'a', 'b'])
      finish('large', text)
      await clock.advance(100)
      finish('a', 'A')
      await clock.advance(1_500)
      t.deepEqual(job.readPage(0).results, [{ id: 'a', state: 'completed', text: 'A' }])
      finish('b', 'B')
      await clock.advance(LARGE_TIME)
      const results = readAll(job)
      t.deepEqual(results.map(({ id }) => id).sort(), ['a', 'b', 'large'])
      t.true(results.find(({ id }) => id === 'large')?.text === text)
      t.true(job.isDone)
      const successor = new OwnedJob({ id: 'j', header: job.header, items: [], segments: store.segments, acceptedAt: 0 })
      t.true(successor.isDone)
      t.deepEqual(readAll(successor), results)
    })
  }
}

// Guards against a result whose text is joined from pieces of two runs of its item, stored by two owners of the job in turn.
test('two owners that store pieces of different texts of one result list the text of one of them', async t => {
  await fc.assert(fc.asyncProperty(fc.array(fc.integer({ min: 0, max: 700 }), { minLength: 2, maxLength: 8 }), fc.boolean(), async (delays, isPrefixEqual) => {
    const clock = new VirtualClock()
    const store = createStore()
    const texts = ['A', 'B'].map(end => `${isPrefixEqual ? 'x'.repeat(600_000) : end.repeat(600_000)}${end.repeat(700_000)}`)
    const owners = [startWriter(store, clock, ['large']), startWriter(store, clock, ['large'])]
    for (const [i, delay] of delays.entries()) {
      if (i < 2) owners[i]!.finish('large', texts[i]!)
      await clock.advance(delay)
    }
    await clock.advance(LARGE_TIME)
    const pages = owners.map(({ job }) => job.readPage(0).results)
    t.is(pages[0]!.length, 1)
    t.true(texts.includes(pages[0]![0]!.text))
    t.true(pages[0]![0]!.text === pages[1]![0]!.text)
  }), { numRuns: 40, seed: 5 })
})
