import test from 'ava'
import fc from 'fast-check'
import assert from 'node:assert/strict'
import { Err, Ok } from 'ts-results'
import { GroupCommit } from '../../src/coordination/group-commit.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const SEED = 20261205
type Outcome = 'written' | 'failed' | 'reply lost' | 'final'

// Writes fail before or after they took effect, in any order. Entries must neither be lost nor overtake one another, be
// acknowledged only when durable, and fail only where retrying is useless.
test('acknowledged entries are durable and in order, under any order of failures', async t => {
  const outcomes = fc.array(fc.constantFrom<Outcome>('written', 'failed', 'reply lost', 'final'), { maxLength: 20 })
  await fc.assert(fc.asyncProperty(fc.array(fc.nat(3_000), { maxLength: 40 }), outcomes, async (gaps, outcomes) => {
    const clock = new VirtualClock()
    const durable: number[] = []
    const acknowledged = new Map<number, boolean>()
    let writing = 0
    const commit = new GroupCommit<number, 'again' | 'final'>({
      clock,
      maxEntries: 5,
      isFinal: error => error === 'final',
      write: async entries => {
        assert.equal(++writing, 1)
        await new Promise<void>(resolve => clock.after(20, resolve))
        writing--
        const outcome = outcomes.shift() ?? 'written'
        if (outcome === 'written' || outcome === 'reply lost') durable.push(...entries.filter(entry => !durable.includes(entry)))
        return outcome === 'written' ? Ok(undefined) : Err(outcome === 'final' ? 'final' : 'again')
      }
    })
    for (const [entry, gap] of gaps.entries()) {
      void commit.add(entry).then(result => {
        acknowledged.set(entry, result.ok)
        assert.ok(!result.ok || durable.includes(entry))
      })
      await clock.advance(gap)
    }
    await clock.advance(200_000)
    assert.equal(acknowledged.size, gaps.length)
    assert.deepEqual(durable, [...durable].sort((a, b) => a - b))
    assert.deepEqual(commit.waiting.entries, [])
  }), { seed: SEED, numRuns: 200, endOnFailure: true })
  t.pass()
})

test('entries wait for one another, but not beyond their limits', async t => {
  const clock = new VirtualClock()
  const batches: number[] = []
  const commit = new GroupCommit<string, never>({ clock, maxEntries: 3, maxSize: 10, maxWait: 1_000, measure: ({ length }) => length, isFinal: () => true, write: async entries => { batches.push(entries.length); return Ok(undefined) } })
  const add = (...texts: readonly string[]): void => { for (const text of texts) void commit.add(text) }
  add('a', 'b')
  await clock.advance(999)
  t.deepEqual(batches, [])
  await clock.advance(1)
  t.deepEqual(batches, [2])
  add('a', 'b', 'c', 'd')
  await clock.advance(0)
  t.deepEqual(batches, [2, 3])
  commit.flush()
  await clock.advance(0)
  t.deepEqual(batches, [2, 3, 1])
  add('longer than ten', 'b')
  await clock.advance(0)
  t.deepEqual(batches, [2, 3, 1, 1])
})
