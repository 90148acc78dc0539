import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { JobRecords } from '../../src/jobs/job-records.js'
import type { JobItem } from '../../src/jobs/job-item.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'

const HEADER = { host: 'h', path: '/p/', submittedAt: 0, total: 2, tokens: 2, owner: 'd1', run: 1 }
/** Each item fills a stored object. */
const ITEMS: readonly JobItem[] = ['a', 'b'].map(id => ({ id, path: '/p/x', headers: {}, body: 'e'.repeat(600_000), tokens: 1 }))
/** Errors that mean that nothing was written. */
const REFUSALS = ['limited', 'unavailable']

type Fault = 'none' | 'limited' | 'unavailable' | 'lost' | 'later'

/** The fault in the writes of one attempt, by the name of the object. */
type Attempt = Readonly<Record<'j' | 'j.0' | 'j.1', Fault>>

async function submit (store: MemoryStore, attempt: Attempt): Promise<string> {
  store.fault = ({ call, name }) => {
    const fault = call === 'put' ? attempt[name as keyof Attempt] : 'none'
    switch (fault) {
      case 'none': return 'none'
      case 'limited': return { fail: { type: 'limited', retryAfter: 100 } }
      case 'unavailable': return { fail: { type: 'unavailable', reason: 'outage' } }
      case 'lost': return { loseReply: { type: 'unknown', reason: 'lost' } }
      case 'later': return { landLater: { type: 'unknown', reason: 'late' } }
    }
  }
  const created = await new JobRecords(store).create('j', HEADER, ITEMS)
  store.fault = () => 'none'
  return created.ok ? 'accepted' : created.val.type
}

async function isWhole (store: MemoryStore): Promise<boolean> {
  store.runDelayed()
  const records = new JobRecords(store)
  const header = await records.readHeader('j')
  return header.ok && (await records.readItems('j', header.val)).ok
}

// Guards against a job that runs although each attempt was refused as not run, because the attempts stored complementary parts.
test('of attempts that each store a part, not all are refused as not run', async t => {
  const store = new MemoryStore()
  const first = await submit(store, { j: 'limited', 'j.0': 'none', 'j.1': 'none' })
  const second = await submit(store, { j: 'none', 'j.0': 'limited', 'j.1': 'limited' })
  t.true(await isWhole(store))
  t.is(first, 'limited')
  t.is(second, 'unknown')
})

// Guards, for any sequence of faults, against a complete job whose attempts were all refused, and an accepted job that is incomplete.
test('a job that was refused at every attempt is never complete', async t => {
  const fault = fc.constantFrom<Fault>('none', 'limited', 'unavailable', 'lost', 'later')
  const attempt = fc.record({ j: fault, 'j.0': fault, 'j.1': fault })
  await fc.assert(fc.asyncProperty(fc.array(attempt, { minLength: 1, maxLength: 4 }), async attempts => {
    const store = new MemoryStore()
    const outcomes: string[] = []
    for (const next of attempts) outcomes.push(await submit(store, next))
    const whole = await isWhole(store)
    if (whole && outcomes.every(outcome => REFUSALS.includes(outcome))) throw new Error(`refused each time and complete: ${outcomes.join()}`)
    if (!whole && outcomes.includes('accepted')) throw new Error(`accepted and not complete: ${outcomes.join()}`)
  }), { numRuns: 500, seed: 11 })
  t.pass()
})
