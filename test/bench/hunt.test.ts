import test from 'ava'
import { checkGuarantees } from '../../bench/hunt/check-guarantees.js'
import type { EngineRun } from '../../bench/hunt/engine-run.js'
import type { HuntJob } from '../../bench/hunt/hunt-job.js'
import type { HuntRecord } from '../../bench/hunt/hunt-record.js'
import type { HuntSend } from '../../bench/hunt/hunt-send.js'
import { planTroubles } from '../../bench/hunt/plan-troubles.js'
import { readRunFiles } from '../../bench/hunt/read-run-files.js'
import { hashTokens } from '../../stand-ins/engine/hash-tokens.js'

const send = (more: Partial<HuntSend>): HuntSend => ({ id: 'stream-1.0', request: 'stream-1', daemon: 'entry-0', at: 0, took: 10, outcome: 'answered', status: 200, ...more })
const booking = (id: string, more: Partial<HuntSend> = {}): HuntSend => send({ id, request: 'booking-1', text: 'run 1', ...more })
const job = (more: Partial<HuntJob>): HuntJob => ({ name: 'drafts', ids: ['j'], ended: true, status: 'completed', items: 1, results: [{ item: 'item-0' }], sameBytes: true, once: ['item-0'], lateStarts: 0, reads: 0, seen: [], ...more })
const record = (more: Partial<HuntRecord>): HuntRecord => ({
  seed: 1, deadline: 8_000, sends: [], runs: [], engineRuns: {}, jobs: [], versions: [], accepted: [], last: [], frozen: [], account: { asked: 0, answered: 0, mayMiss: 100 }, after: [], ...more
})

const run = (more: Partial<EngineRun> = {}): EngineRun => ({ id: 'stream-1.0', resumed: 0, from: hashTokens([]), outcome: 'finished', ...more })
const resumed = (tokens: readonly string[], more: Partial<EngineRun> = {}): EngineRun => run({ resumed: tokens.length, from: hashTokens(tokens), ...more })
const whole = (marked: string): HuntSend => send({ id: 'whole-1.0', request: 'whole-1', marked })
const item = (marked: string): HuntJob => job({ results: [{ item: 'item-0', marked }] })
const ofItem = { id: 'j.item-0' }

const CASES: ReadonlyArray<readonly [string, Partial<HuntRecord>, string | undefined]> = [
  ['nothing in a correct record', { sends: [send({})], runs: ['stream-1.0'], jobs: [job({})] }, undefined],
  ['another\'s answer', { sends: [send({ wrong: 'day 2' })] }, 'delivered as complete'],
  ['a request that ends long after its deadline', { sends: [send({ took: 12_000 })] }, 'ended only after'],
  ['a request that ends late because its daemon was paused', { sends: [send({ took: 12_000 })], frozen: [{ daemon: 'entry-0', from: 5, to: 9_000 }] }, undefined],
  ['a request without an answer', { sends: [send({ outcome: 'no answer' })] }, 'neither an answer nor a refusal'],
  ['a refused request that ran', { sends: [send({ outcome: 'refused', ran: 'not run' })], runs: ['stream-1.0'] }, 'refused as not run, but ran'],
  ['a stream of one run', { sends: [send({ marked: 'a@e/1 b@e/1' })], engineRuns: { 'e/1': run() } }, undefined],
  ['a stream that continued on another server', { sends: [send({ marked: 'a@e/1 b@e/1 c@f/1' })], engineRuns: { 'e/1': run({ outcome: undefined }), 'f/1': resumed(['a@e/1', ' b@e/1']) } }, undefined],
  ['a stream restarted in its middle', { sends: [send({ marked: 'a@e/1 b@f/1' })], engineRuns: { 'e/1': run({ outcome: 'cancelled' }), 'f/1': run() } }, 'resumed after 0 tokens but follows 1'],
  ['a stream that continues after tokens that its caller never got', { sends: [send({ marked: 'a@e/1 b@f/1' })], engineRuns: { 'e/1': run(), 'f/1': resumed(['x@e/2']) } }, 'other tokens'],
  ['a stream that continues with a gap', { sends: [send({ marked: 'a@e/1 c@f/1' })], engineRuns: { 'e/1': run(), 'f/1': resumed(['a@e/1', ' b@e/1']) } }, 'resumed after 2 tokens but follows 1'],
  ['a stream of two alternating runs', { sends: [send({ marked: 'a@e/1 b@f/1 c@e/1' })], engineRuns: { 'e/1': run(), 'f/1': resumed(['a@e/1']) } }, 'resumed after 0 tokens but follows 2'],
  ['a stream whose run was cut', { sends: [send({ marked: 'a@e/1' })], engineRuns: { 'e/1': run({ outcome: undefined }) } }, 'did not finish'],
  ['a stream of another\'s run', { sends: [send({ marked: 'a@e/1' })], engineRuns: { 'e/1': run({ id: 'stream-2.0' }) } }, 'ran stream-2.0'],
  ['an answer of a run that no server recorded', { sends: [send({ marked: 'a@e/9' })], engineRuns: { 'e/1': run() } }, 'in no run file'],
  ['a word without a mark', { sends: [send({ marked: 'a@e/1 b' })], engineRuns: { 'e/1': run() } }, 'has no mark'],
  ['a whole answer of two runs', { sends: [whole('a@e/1 b@f/1')], engineRuns: { 'e/1': run({ id: 'whole-1.0' }), 'f/1': resumed(['a@e/1'], { id: 'whole-1.0' }) } }, 'comes from 2 runs'],
  ['a result of a run that was cancelled', { jobs: [item('a@e/1')], engineRuns: { 'e/1': run({ ...ofItem, outcome: 'cancelled' }) } }, 'did not finish'],
  ['a result of another item\'s run', { jobs: [item('a@e/1')], engineRuns: { 'e/1': run({ id: 'j.item-7' }) } }, 'ran j.item-7'],
  ['a result that continued after its item was preempted', { jobs: [item('a@e/1 b@f/1')], engineRuns: { 'e/1': run({ ...ofItem, outcome: 'cancelled' }), 'f/1': resumed(['a@e/1'], ofItem) } }, undefined],
  ['a result replaced by a later run\'s', { jobs: [job({ seen: [{ item: 'item-0', lines: ['a@e/1', 'a@f/1'] }] })] }, 'changed after it was read'],
  ['a result that disappears after it was read', { jobs: [job({ seen: [{ item: 'item-0', lines: ['a'] }, { item: 'item-1', lines: ['b'] }] })] }, 'was read, but is missing now'],
  ['a booking that ran twice', { sends: [booking('a'), booking('b')], runs: ['a', 'b'] }, 'ran 2 times'],
  ['a booking with two different answers', { sends: [booking('a'), booking('b', { text: 'run 2' })], runs: ['a'] }, 'got two different answers'],
  ['a booking confirmed and never run', { sends: [booking('a')] }, 'confirmed but never ran'],
  ['a job that became two', { jobs: [job({ ids: ['j', 'k'] })] }, 'another job'],
  ['an item without a result', { jobs: [job({ items: 2 })] }, '1 results of 2 items'],
  ['an item with two results', { jobs: [job({ items: 2, results: [{ item: 'item-0' }, { item: 'item-0' }] })] }, '2 results of 2 items'],
  ['an item that may run once and ran twice', { jobs: [job({})], runs: ['j.item-0', 'j.item-0'] }, 'ran 2 times'],
  ['results that change', { jobs: [job({ sameBytes: false })] }, 'returned different results'],
  ['items that start after a cancellation', { jobs: [job({ lateStarts: 2 })] }, '2 items began'],
  ['a daemon that returns to an older configuration', { versions: [{ daemon: 'entry-0', versions: [3, 5, 4] }] }, 'went back'],
  ['a daemon that stays at an older configuration', { accepted: [5], last: [5, 4] }, 'uses version 4'],
  ['a version accepted twice', { accepted: [5, 5] }, 'accepted twice'],
  ['an account that lacks more than its stated bound', { sends: [send({})], account: { asked: 1, answered: 0, mayMiss: 0 } }, 'but callers received 1'],
  ['an account with more requests than were sent', { account: { asked: 1, answered: 0, mayMiss: 0 } }, '0 were sent']
]

for (const [what, more, finding] of CASES) {
  test(`a hunt finds ${what}`, t => {
    const findings = checkGuarantees(record(more))
    if (finding === undefined) return t.deepEqual(findings, [])
    t.true(findings.some(text => text.includes(finding)), findings.join('\n'))
  })
}

test('a seed always plans the same two to four troubles, which spare half of the daemons and engines', t => {
  for (let seed = 1; seed <= 500; seed++) {
    const troubles = planTroubles(seed)
    t.deepEqual(troubles, planTroubles(seed))
    t.true(troubles.length >= 2 && troubles.length <= 4)
    t.true(troubles.filter(trouble => 'daemon' in trouble).length <= 2)
    t.true(troubles.filter(trouble => 'engine' in trouble).length <= 2)
    t.true(troubles.filter(({ type }) => type === 'regions parted').length <= (seed < 100 ? 0 : 1))
  }
})

// A killed engine records the starts of its runs without their ends. Each must count as a run, and none as complete.
test('run files list every run by its mark, with its end if it has one', t => {
  const line = (value: object): string => `${JSON.stringify(value)}\n`
  const started = { type: 'started', id: 'j.item-0', resumed: 0, from: 'x' }
  const engine = line({ ...started, run: 'e/1' }) + line({ ...started, run: 'e/2' }) + line({ type: 'ended', run: 'e/1', outcome: 'finished' })
  t.deepEqual(readRunFiles([engine, 'booking-1.0\nbooking-1.1\n']), {
    ids: ['j.item-0', 'j.item-0', 'booking-1.0', 'booking-1.1'],
    engineRuns: { 'e/1': { id: 'j.item-0', resumed: 0, from: 'x', outcome: 'finished' }, 'e/2': { id: 'j.item-0', resumed: 0, from: 'x' } }
  })
})
