import test from 'ava'
import { checkPromises } from '../../bench/hunt/check-promises.js'
import type { HuntJob } from '../../bench/hunt/hunt-job.js'
import type { HuntRecord } from '../../bench/hunt/hunt-record.js'
import type { HuntSend } from '../../bench/hunt/hunt-send.js'
import { planTroubles } from '../../bench/hunt/plan-troubles.js'

const send = (more: Partial<HuntSend>): HuntSend => ({ id: 'stream-1.0', request: 'stream-1', daemon: 'entry-0', at: 0, took: 10, outcome: 'answered', status: 200, ...more })
const booking = (id: string, more: Partial<HuntSend> = {}): HuntSend => send({ id, request: 'booking-1', text: 'run 1', ...more })
const job = (more: Partial<HuntJob>): HuntJob => ({ name: 'drafts', ids: ['j'], ended: true, status: 'completed', items: 1, results: [{ item: 'item-0' }], sameBytes: true, once: ['item-0'], lateStarts: 0, ...more })
const record = (more: Partial<HuntRecord>): HuntRecord => ({
  seed: 1, deadline: 8_000, sends: [], runs: [], jobs: [], versions: [], accepted: [], last: [], frozen: [], account: { asked: 0, answered: 0, mayMiss: 100 }, after: [], ...more
})

const CASES: ReadonlyArray<readonly [string, Partial<HuntRecord>, string | undefined]> = [
  ['nothing went wrong', { sends: [send({})], runs: ['stream-1.0'], jobs: [job({})] }, undefined],
  ['another\'s answer', { sends: [send({ wrong: 'day 2' })] }, 'passed as whole'],
  ['an end long after the deadline', { sends: [send({ took: 12_000 })] }, 'had its end after'],
  ['an end that was late because the daemon stood still', { sends: [send({ took: 12_000 })], frozen: [{ daemon: 'entry-0', from: 5, to: 9_000 }] }, undefined],
  ['a request that nobody answered', { sends: [send({ outcome: 'no answer' })] }, 'neither an answer nor a refusal'],
  ['a refused request that ran', { sends: [send({ outcome: 'refused', ran: 'not run' })], runs: ['stream-1.0'] }, 'refused as not run, and ran'],
  ['a booking that ran twice', { sends: [booking('a'), booking('b')], runs: ['a', 'b'] }, 'ran 2 times'],
  ['a booking answered in two ways', { sends: [booking('a'), booking('b', { text: 'run 2' })], runs: ['a'] }, 'answered in two ways'],
  ['a booking confirmed and never run', { sends: [booking('a')] }, 'confirmed and didn\'t run'],
  ['a job that became two', { jobs: [job({ ids: ['j', 'k'] })] }, 'another job'],
  ['an item without a result', { jobs: [job({ items: 2 })] }, '1 results of 2 items'],
  ['an item with two results', { jobs: [job({ items: 2, results: [{ item: 'item-0' }, { item: 'item-0' }] })] }, '2 results of 2 items'],
  ['an item that may run once and ran twice', { jobs: [job({})], runs: ['j.item-0', 'j.item-0'] }, 'ran 2 times'],
  ['results that change', { jobs: [job({ sameBytes: false })] }, 'read differently'],
  ['items that start after a cancelling', { jobs: [job({ lateStarts: 2 })] }, '2 items began'],
  ['a daemon that goes back', { versions: [{ daemon: 'entry-0', versions: [3, 5, 4] }] }, 'went back'],
  ['a daemon that stays behind', { accepted: [5], last: [5, 4] }, 'acts on 4'],
  ['a version accepted twice', { accepted: [5, 5] }, 'accepted twice'],
  ['an account that lacks more than it says', { sends: [send({})], account: { asked: 1, answered: 0, mayMiss: 0 } }, 'were heard'],
  ['an account with more than was sent', { account: { asked: 1, answered: 0, mayMiss: 0 } }, '0 were sent']
]

for (const [what, more, finding] of CASES) {
  test(`a hunt finds ${what}`, t => {
    const findings = checkPromises(record(more))
    if (finding === undefined) return t.deepEqual(findings, [])
    t.true(findings.some(text => text.includes(finding)), findings.join('\n'))
  })
}

test('a seed always plans the same troubles, two to four, and leaves half of the daemons and engines', t => {
  for (let seed = 1; seed <= 500; seed++) {
    const troubles = planTroubles(seed)
    t.deepEqual(troubles, planTroubles(seed))
    t.true(troubles.length >= 2 && troubles.length <= 4)
    t.true(troubles.filter(trouble => 'daemon' in trouble).length <= 2)
    t.true(troubles.filter(trouble => 'engine' in trouble).length <= 2)
  }
})
