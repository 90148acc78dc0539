import test from 'ava'
import { checkRecord } from '../../bench/soak/check-record.js'
import type { ObservedRun } from '../../bench/soak/observed-run.js'
import type { SentJob } from '../../bench/soak/sent-job.js'
import type { SentRequest } from '../../bench/soak/sent-request.js'
import type { SoakRecord } from '../../bench/soak/soak-record.js'
import { soakSize } from '../../bench/soak/soak-size.js'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'

const list = <T>(make: (n: number) => T): readonly T[] => Array.from({ length: soakSize.events }, (_, i) => make(i + 1))
const stream = (path: string): string => list(n => `id: ${n}\ndata: ${EventEngine.buildEventData(path, n)}\n\n`).join('')
const result = (id: string): { readonly id: string, readonly state: string, readonly text: string } => ({ id, state: 'completed', text: list(n => EventEngine.buildEventData(`/drafts/${id}`, n)).join('\n') })

const request: SentRequest = { id: 'r', daemon: 0, at: 5_000, until: 5_500, path: '/quotes/1', resumable: true, outcome: 'whole', status: 200, stamp: 'stamp-i-0', text: stream('/quotes/1') }
const run: ObservedRun = { id: 'r', path: '/quotes/1', engine: 'i-0', at: 5_010, resumedAfter: undefined, events: soakSize.events }
const job: SentJob = { id: 'j', items: ['j-0', 'j-1'], statuses: [202], acceptedAt: 1_000, endedAt: undefined, reads: [{ at: 9_000, daemon: 0, status: 200, total: 2, results: [result('j-0'), result('j-1')] }] }
const empty: SoakRecord = { requests: [], runs: [], jobs: [], versions: [{ version: 1, at: 0, hasExtra: false }], leaving: [], harmed: [], exits: [] }
const reading = job.reads[0]!

interface Case { readonly name: string, readonly record: Partial<SoakRecord>, readonly found: RegExp | undefined }

const cases: readonly Case[] = [
  { name: 'a whole answer of a server that ran it', record: { requests: [request], runs: [run] }, found: undefined },
  { name: 'a whole job', record: { jobs: [job] }, found: undefined },
  { name: 'an event is missing', record: { requests: [{ ...request, text: request.text.replace(/id: 3\n.*\n\n/, '') }], runs: [run] }, found: /other events/ },
  { name: 'an answer of a server that did not run it', record: { requests: [{ ...request, stamp: 'stamp-i-1' }], runs: [run] }, found: /no such server/ },
  { name: 'refused as not run, and ran', record: { requests: [{ ...request, outcome: 'refused', status: 503, text: '' }], runs: [run] }, found: /was answered 503, and ran/ },
  { name: 'a request that may run once runs twice', record: { requests: [{ ...request, resumable: false }], runs: [run, { ...run, engine: 'i-1' }] }, found: /may run once/ },
  { name: 'one that may be resumed', record: { requests: [request], runs: [run, { ...run, engine: 'i-1', resumedAfter: 3 }] }, found: undefined },
  { name: 'cut though its server sent all', record: { requests: [{ ...request, outcome: 'cut', text: request.text.slice(0, 40) }], runs: [run] }, found: /was cut/ },
  { name: 'cut by a daemon that was killed', record: { requests: [{ ...request, outcome: 'cut', text: request.text.slice(0, 40) }], runs: [run], harmed: [{ daemon: 0, from: 5_200, to: 9_000 }] }, found: undefined },
  { name: 'a route that all configurations have is not found', record: { requests: [{ ...request, outcome: 'no route', status: 404, text: '' }] }, found: /found no route/ },
  { name: 'a route that is gone is still served', record: { requests: [{ ...request, path: '/extra/1', text: stream('/extra/1') }], runs: [{ ...run, path: '/extra/1' }] }, found: /a route that is gone/ },
  { name: 'a run that nobody asked for', record: { runs: [run] }, found: /nobody sent/ },
  { name: 'a server that leaves gets a request late', record: { requests: [request], runs: [run], leaving: [{ engine: 'i-0', at: 1_000 }] }, found: /after it said that it leaves/ },
  { name: 'a job that was accepted is not found', record: { jobs: [{ ...job, reads: [reading, { ...reading, status: 404, results: [] }] }] }, found: /wasn't found/ },
  { name: 'a position changes', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-1')] }, reading] }] }, found: /position 0/ },
  { name: 'an item is never done', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-0')] }] }] }, found: /never done/ },
  { name: 'an item stands twice', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-0'), result('j-0')] }] }] }, found: /two positions/ },
  { name: 'an item that could be done is given up', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-0'), { id: 'j-1', state: 'failed', text: '' }] }] }] }, found: /was given up/ },
  { name: 'a refused job runs', record: { jobs: [{ ...job, acceptedAt: undefined, statuses: [503], reads: [] }], runs: [{ ...run, id: 'j-0' }] }, found: /was refused each time, and ran/ },
  { name: 'a daemon ends by itself', record: { exits: ['daemon 1 ended by itself'] }, found: /by itself/ }
]

for (const { name, record, found } of cases) {
  test(name, t => {
    const findings = checkRecord({ ...empty, ...record })
    if (found === undefined) t.deepEqual(findings, [])
    else t.regex(findings.join('\n'), found)
  })
}
