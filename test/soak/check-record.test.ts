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

const request: SentRequest = { id: 'r', daemon: 0, at: 5_000, until: 5_500, path: '/quotes/1', caller: 'harbour', resumable: true, outcome: 'whole', status: 200, stamp: 'stamp-i-0', text: stream('/quotes/1') }
const run: ObservedRun = { id: 'r', path: '/quotes/1', caller: 'harbour', key: undefined, engine: 'i-0', version: '1', at: 5_010, resumedAfter: undefined, events: soakSize.events }
const job: SentJob = { id: 'j', items: ['j-0', 'j-1'], statuses: [202], acceptedAt: 1_000, endedAt: undefined, reads: [{ at: 9_000, daemon: 0, status: 200, total: 2, results: [result('j-0'), result('j-1')] }] }
const empty: SoakRecord = { requests: [], runs: [], jobs: [], versions: [{ version: 1, at: 0, hasExtra: false }], leaving: [], harmed: [], resets: [], standstills: [], exits: [], calmFrom: Infinity, endedAt: Infinity }
const reading = job.reads[0]!

/** Creates a record in which so many requests of the organisation with a quota ran at once. */
function createHotRecord (count: number): Partial<SoakRecord> {
  const ids = Array.from({ length: count }, (_, i) => `hot-${i}`)
  return {
    requests: ids.map(id => ({ ...request, id, caller: 'swarm' })),
    runs: ids.map(id => ({ ...run, id, caller: 'swarm' }))
  }
}

interface Case { readonly name: string, readonly record: Partial<SoakRecord>, readonly found: RegExp | undefined }

const cases: readonly Case[] = [
  { name: 'a complete answer of a server that ran the request', record: { requests: [request], runs: [run] }, found: undefined },
  { name: 'a complete job', record: { jobs: [job] }, found: undefined },
  { name: 'an event is missing', record: { requests: [{ ...request, text: request.text.replace(/id: 3\n.*\n\n/, '') }], runs: [run] }, found: /other events/ },
  { name: 'an answer of a server that did not run the request', record: { requests: [{ ...request, stamp: 'stamp-i-1' }], runs: [run] }, found: /no such server/ },
  { name: 'a request refused as not run has run', record: { requests: [{ ...request, outcome: 'refused', status: 503, text: '' }], runs: [run] }, found: /was answered 503, and ran/ },
  { name: 'a request that may run once runs twice', record: { requests: [{ ...request, resumable: false }], runs: [run, { ...run, engine: 'i-1' }] }, found: /may run once/ },
  { name: 'a resumable request runs twice', record: { requests: [request], runs: [run, { ...run, engine: 'i-1', resumedAfter: 3 }] }, found: undefined },
  { name: 'an answer is cut though its server sent all of it', record: { requests: [{ ...request, outcome: 'cut', text: request.text.slice(0, 40) }], runs: [run] }, found: /was cut/ },
  { name: 'a stream goes on at another version', record: { requests: [request], runs: [run, { ...run, engine: 'i-1', version: '2', at: 5_100, resumedAfter: 3 }] }, found: /another version/ },
  { name: 'a stream that sent no event begins at another version', record: { requests: [request], runs: [{ ...run, events: 0 }, { ...run, engine: 'i-1', version: '2', at: 5_100 }] }, found: undefined },
  { name: 'an answer is cut as the connections to its server are reset', record: { requests: [{ ...request, outcome: 'cut', text: request.text.slice(0, 40) }], runs: [run], resets: [{ engine: 'i-0', from: 5_450, to: 6_000 }] }, found: undefined },
  { name: 'an answer is cut as the connections to another server are reset', record: { requests: [{ ...request, outcome: 'cut', text: request.text.slice(0, 40) }], runs: [run], resets: [{ engine: 'i-1', from: 5_450, to: 6_000 }] }, found: /was cut/ },
  { name: 'an answer is cut before the connections to its server are reset', record: { requests: [{ ...request, outcome: 'cut', text: request.text.slice(0, 40) }], runs: [run], resets: [{ engine: 'i-0', from: 5_600, to: 6_000 }] }, found: /was cut/ },
  { name: 'an answer is cut at its deadline after the soak stood still', record: { requests: [{ ...request, outcome: 'cut', until: request.at + 5_000, text: request.text.slice(0, 40) }], runs: [run], standstills: [{ from: request.at, to: request.at + 600 }, { from: request.at + 1_000, to: request.at + 1_500 }] }, found: undefined },
  { name: 'an answer is cut at its deadline and the soak hardly stood still', record: { requests: [{ ...request, outcome: 'cut', until: request.at + 5_000, text: request.text.slice(0, 40) }], runs: [run], standstills: [{ from: request.at, to: request.at + 900 }] }, found: /was cut.* stood still for 900 ms/ },
  { name: 'an answer is cut at its deadline and the soak stood still before', record: { requests: [{ ...request, outcome: 'cut', until: request.at + 5_000, text: request.text.slice(0, 40) }], runs: [run], standstills: [{ from: request.at - 2_000, to: request.at }] }, found: /was cut/ },
  { name: 'an answer is cut before its deadline and the soak stood still', record: { requests: [{ ...request, outcome: 'cut', until: request.at + 4_900, text: request.text.slice(0, 40) }], runs: [run], standstills: [{ from: request.at, to: request.at + 3_000 }] }, found: /was cut/ },
  { name: 'an answer is cut long after the connections to its server were reset', record: { requests: [{ ...request, outcome: 'cut', until: 9_000, text: request.text.slice(0, 40) }], runs: [run], resets: [{ engine: 'i-0', from: 5_450, to: 6_000 }] }, found: /was cut/ },
  { name: 'an answer is cut by a daemon that was killed', record: { requests: [{ ...request, outcome: 'cut', text: request.text.slice(0, 40) }], runs: [run], harmed: [{ daemon: 0, from: 5_200, to: 9_000 }] }, found: undefined },
  { name: 'a route that all configurations have is not found', record: { requests: [{ ...request, outcome: 'no route', status: 404, text: '' }] }, found: /found no route/ },
  { name: 'a removed route is still served', record: { requests: [{ ...request, path: '/extra/1', text: stream('/extra/1') }], runs: [{ ...run, path: '/extra/1' }] }, found: /a removed route/ },
  { name: 'a run that no caller asked for', record: { runs: [run] }, found: /no caller sent/ },
  { name: 'a draining server gets a request after the bound', record: { requests: [request], runs: [run], leaving: [{ engine: 'i-0', at: 1_000, until: Infinity }] }, found: /after it began to drain/ },
  { name: 'a server that drained gets a request after it was restarted and registered as ready', record: { requests: [request], runs: [run], leaving: [{ engine: 'i-0', at: 1_000, until: 5_000 }] }, found: undefined },
  { name: 'a draining server gets a request just before it is restarted', record: { requests: [request], runs: [run], leaving: [{ engine: 'i-0', at: 1_000, until: 5_020 }] }, found: /after it began to drain/ },
  { name: 'an accepted job is not found', record: { jobs: [{ ...job, reads: [reading, { ...reading, status: 404, results: [] }] }] }, found: /wasn't found/ },
  { name: 'the result at a position changes', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-1')] }, reading] }] }, found: /position 0/ },
  { name: 'an item never gets a result', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-0')] }] }] }, found: /never got a result/ },
  { name: 'an item has two results', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-0'), result('j-0')] }] }] }, found: /two positions/ },
  { name: 'an item that can be completed has failed', record: { jobs: [{ ...job, reads: [{ ...reading, results: [result('j-0'), { id: 'j-1', state: 'failed', text: '' }] }] }] }, found: /failed, though it can be completed/ },
  { name: 'a result that was read is missing at another daemon in the end', record: { endedAt: 12_000, jobs: [{ ...job, reads: [reading, { ...reading, at: 12_000, daemon: 1, results: [result('j-0')] }] }] }, found: /position 1 was read before, and daemon 1 has undefined/ },
  { name: 'a result that was read is an empty page at another daemon in the end', record: { endedAt: 12_000, jobs: [{ ...job, reads: [reading, { ...reading, at: 12_000, daemon: 1, results: [] }] }] }, found: /position 0 was read before/ },
  { name: 'a daemon fails each read in the end', record: { endedAt: 12_000, jobs: [{ ...job, reads: [reading, { ...reading, at: 12_000, status: 503, results: [] }, { ...reading, at: 12_500, status: 503, results: [] }] }] }, found: /couldn't be read at daemon 0 in the end: 503/ },
  { name: 'a daemon shows what was read after a failure', record: { endedAt: 12_000, jobs: [{ ...job, reads: [reading, { ...reading, at: 12_000, status: 503, results: [] }, { ...reading, at: 12_500 }] }] }, found: undefined },
  { name: 'the items of a job whose cancellation was asked for and not confirmed never run', record: { calmFrom: 2_000, endedAt: 22_000, jobs: [{ ...job, endAskedAt: 1_500, reads: [{ ...reading, at: 21_000, results: [] }] }] }, found: /^j: its cancellation was asked for at 1500 ms and never confirmed$/ },
  { name: 'the items of a job whose cancellation is confirmed when it is asked for again never run', record: { calmFrom: 2_000, endedAt: 22_000, jobs: [{ ...job, endAskedAt: 1_500, endedAt: 2_500, reads: [{ ...reading, at: 21_000, results: [] }] }] }, found: undefined },
  { name: 'a complete job whose cancellation was asked for and not confirmed', record: { jobs: [{ ...job, endAskedAt: 1_500 }] }, found: /never confirmed/ },
  { name: 'an item is left lying', record: { calmFrom: 2_000, endedAt: 22_000, jobs: [{ ...job, reads: [{ ...reading, at: 21_000 }] }] }, found: /no server ran any of its items for \d+ ms from 2000 ms on/ },
  { name: 'an item is left lying between two runs', record: { calmFrom: 2_000, endedAt: 22_000, jobs: [{ ...job, reads: [{ ...reading, at: 21_000 }] }], runs: [3_000, 20_000].map(at => ({ ...run, id: 'j-0', at })) }, found: /no server ran any of its items/ },
  { name: 'items of a job run one after the other', record: { calmFrom: 2_000, endedAt: 22_000, jobs: [{ ...job, reads: [{ ...reading, at: 21_000 }] }], runs: [3_000, 9_000, 15_000].map(at => ({ ...run, id: 'j-0', at })) }, found: undefined },
  { name: 'a refused job runs', record: { jobs: [{ ...job, acceptedAt: undefined, statuses: [503], reads: [] }], runs: [{ ...run, id: 'j-0' }] }, found: /was refused each time, and ran/ },
  { name: 'a request runs under the name of another organisation', record: { requests: [request], runs: [{ ...run, caller: 'swarm' }] }, found: /ran r for swarm/ },
  { name: 'an item runs under no name', record: { jobs: [job], runs: [{ ...run, id: 'j-0', caller: undefined }] }, found: /ran j-0 for undefined/ },
  { name: 'a server gets a key', record: { requests: [request], runs: [{ ...run, key: 'key' }] }, found: /got the key of r/ },
  { name: 'a request with an unknown key runs', record: { requests: [{ ...request, caller: '' }], runs: [run] }, found: /ran r for harbour/ },
  { name: 'a known key is rejected', record: { requests: [{ ...request, outcome: 'failed', status: 401, text: '' }] }, found: /its key was rejected/ },
  { name: 'more requests run than a quota allows', record: createHotRecord(69), found: /69 requests of swarm ran in 5000 ms/ },
  { name: 'as many requests run as a quota allows', record: createHotRecord(68), found: undefined },
  { name: 'a daemon exits unexpectedly', record: { exits: ['daemon 1 exited unexpectedly'] }, found: /exited unexpectedly/ }
]

for (const { name, record, found } of cases) {
  test(name, t => {
    const findings = checkRecord({ ...empty, ...record })
    if (found === undefined) t.deepEqual(findings, [])
    else t.regex(findings.join('\n'), found)
  })
}
