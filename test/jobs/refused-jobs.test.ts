import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { JobRecords } from '../../src/jobs/job-records.js'
import type { JobItem } from '../../src/jobs/job-item.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'

const HEADER = { host: 'h', path: '/p/', submittedAt: 0, total: 2, tokens: 2, owner: 'd1', run: 1 }
/** Each fills an object of its own. */
const ITEMS: readonly JobItem[] = ['a', 'b'].map(id => ({ id, path: '/p/x', headers: {}, body: 'e'.repeat(600_000), tokens: 1 }))
/** Errors that say that nothing was written. */
const REFUSALS = ['limited', 'unavailable']

type Fault = 'none' | 'limited' | 'unavailable' | 'lost' | 'later'

/** What the store does to the writes of one attempt, by the name of the object. */
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

// The store comes back from an outage and takes few writes a second. A job is submitted again and again: the first time its items are
// stored and its head is not, the next time it is the other way round, and each time its caller is told that it has not run. Then
// a daemon finds a whole job in the store and runs it.
test('attempts that store a part each: not all of them say that nothing runs', async t => {
  const store = new MemoryStore()
  const first = await submit(store, { j: 'limited', 'j.0': 'none', 'j.1': 'none' })
  const second = await submit(store, { j: 'none', 'j.0': 'limited', 'j.1': 'limited' })
  t.true(await isWhole(store))
  t.is(first, 'limited')
  t.is(second, 'unknown')
})

// Whatever the store does to the writes of some attempts in a row: where each was refused, nothing is there to be run; where one was
// accepted, all of it is.
test('a job that was refused at every attempt is never whole', async t => {
  const fault = fc.constantFrom<Fault>('none', 'limited', 'unavailable', 'lost', 'later')
  const attempt = fc.record({ j: fault, 'j.0': fault, 'j.1': fault })
  await fc.assert(fc.asyncProperty(fc.array(attempt, { minLength: 1, maxLength: 4 }), async attempts => {
    const store = new MemoryStore()
    const outcomes: string[] = []
    for (const next of attempts) outcomes.push(await submit(store, next))
    const whole = await isWhole(store)
    if (whole && outcomes.every(outcome => REFUSALS.includes(outcome))) throw new Error(`refused each time and whole: ${outcomes.join()}`)
    if (!whole && outcomes.includes('accepted')) throw new Error(`accepted and not whole: ${outcomes.join()}`)
  }), { numRuns: 500, seed: 11 })
  t.pass()
})
