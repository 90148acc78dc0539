import 'reflect-metadata'
import test from 'ava'
import { Err, Ok, type Result } from 'ts-results'
import type { JobRecords } from '../../src/jobs/job-records.js'
import type { ListedResult } from '../../src/jobs/listed-result.js'
import { OwnedJob } from '../../src/jobs/owned-job.js'
import { ResultWriter } from '../../src/jobs/result-writer.js'
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
