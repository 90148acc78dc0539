import test, { type ExecutionContext } from 'ava'
import { symlinkSync } from 'node:fs'
import { join } from 'node:path'
import 'reflect-metadata'
import { buildTracePage } from '../../src/observe/trace/build-trace-page.js'
import { readTrace } from '../../src/observe/trace/read-trace.js'
import { showTrace } from '../../src/observe/trace/show-trace.js'
import type { Trace } from '../../src/observe/trace/trace.js'
import { writeLogs } from '../helpers/write-logs.js'

type Files = Parameters<typeof writeLogs>[1]

const accepted = (at: number): object => ({ at, part: 'jobs', message: 'confirmed a job', request: 'j', how: 'accepted', items: 2, configuration: 3 })
const taken = (at: number): object => ({ at, part: 'jobs', message: 'took a job over', job: 'j', from: '10.0.0.1:8326', age: 900, results: 0 })
const started = (at: number, request: string): object => ({ at, part: 'jobs', message: 'started an item', request, job: 'j', server: 's1' })
const ended = (at: number, request: string): object => ({ at, part: 'jobs', message: 'an item ended', request, job: 'j', result: 'completed' })
const refused = (at: number, request: string): object => ({ at, level: 'warn', part: 'routing', message: 'abandoned a request', request, cause: 'overloaded', tried: [] })
const answered = (at: number, request: string, server = 's1'): object => ({ at, part: 'routing', message: 'answered a request', request, server, tried: 0 })

async function read (t: ExecutionContext, id: string, files: object): Promise<Trace> {
  const trace = await readTrace({ folder: writeLogs(t, files as Files), id })
  return trace.unwrap()
}

function listOwn ({ events }: Trace): readonly string[] {
  return events.filter(({ kind }) => kind === 'own').map(({ instance, what, request }) => [instance, what, request].filter(Boolean).join(' '))
}

const JOB = {
  'a.log': [accepted(0), started(10, 'i1'), started(20, 'i2'), ended(500, 'i1')],
  'b.log': [taken(2_000), started(2_100, 'i2'), ended(2_500, 'i2'), started(2_600, 'k1')].map(line => 'request' in line && line.request === 'k1' ? { ...line, job: 'k' } : line)
}

test('the trace of an item has the lines of its job, but none of the job\'s other items', async t => {
  const trace = await read(t, 'i2', JOB)
  t.is(trace.type, 'item')
  t.deepEqual(trace.related, ['j'])
  t.deepEqual(listOwn(trace), ['a confirmed a job', 'a started an item i2', 'b took a job over', 'b started an item i2', 'b an item ended i2'])
})

// Guards against a trace that doesn't tell why an item waits, or that tells it of another item of its job.
test('the trace of an item shows why it waits, what it waits for and since when', async t => {
  const wait = (at: number, why: string, items: readonly string[], count = items.length): object => ({ at, part: 'jobs', message: 'items wait', job: 'j', why, for: `a ${why}`, since: '2026-01-24T08:00:00.000Z', waited: 3_000, count, items })
  const trace = await read(t, 'i2', { 'a.log': [accepted(0), wait(3_000, 'slot', ['i1']), wait(4_000, 'version', ['i1', 'i2']), wait(5_000, 'look-up', ['i1'], 30), started(6_000, 'i2')] })
  t.deepEqual(listOwn(trace), ['a confirmed a job', 'a items wait', 'a items wait', 'a started an item i2'])
  t.deepEqual(trace.events.map(({ fields: { why } }) => why).filter(Boolean), ['version', 'look-up'])
  t.regex(showTrace(trace), /items wait .*why=version for=a version since=2026-01-24T08:00:00.000Z waited=3000 count=2/)
})

// The daemon that relayed the stream was killed and logged nothing of it.
test('the trace of a request has the attempts that resume its stream', async t => {
  const trace = await read(t, 'r1', { 'a.log': [answered(0, 'other')], 'b.log': [{ at: 10, part: 'routing', message: 'resumes a stream', request: 'r2', stream: 'r1', events: '3', version: 'v1', by: 'peer' }, answered(40, 'r2')] })
  t.is(trace.type, 'request')
  t.deepEqual(listOwn(trace), ['b resumes a stream r2'])
})

test('the trace of a job has its items', async t => {
  const trace = await read(t, 'j', JOB)
  t.is(trace.type, 'job')
  t.deepEqual(trace.related, ['i1', 'i2'])
  t.is(listOwn(trace).length, 7)
  t.deepEqual([trace.instances, trace.servers], [['a', 'b'], ['s1']])
})

// The clock of the instance that takes a job over is 5 s behind. By timestamp alone, the job would be taken over before it was confirmed.
test('a job is confirmed before another daemon takes it over, whatever the timestamps, and the output gives the reason', async t => {
  const trace = await read(t, 'j', {
    'a.log': [accepted(5_000), started(5_010, 'i1')],
    'b.log': [taken(400), started(500, 'i1'), ended(900, 'i1')]
  })
  t.deepEqual(listOwn(trace), ['a confirmed a job', 'b took a job over', 'b started an item i1', 'b an item ended i1', 'a started an item i1'])
  t.regex(trace.events[1]!.inferred!, /^timestamp 4600 ms before that of a line above: a job is confirmed before another daemon takes it over$/)
  t.regex(trace.events[2]!.inferred!, /timestamp 4500 ms before that of a line above/)
  t.is(trace.events.at(-1)!.inferred, undefined)
  t.deepEqual(trace.clocks, [{ behind: 'b', ahead: 'a', least: 4_600 }])
  t.regex(showTrace(trace), /the clock of b is behind that of a by 4600 ms or more/)
  t.regex(buildTracePage(trace), /timestamp 4600 ms before[^]*jobs: took a job over \(out of timestamp order\)/)
})

test('a daemon hands a job over after the other owner has taken it', async t => {
  const trace = await read(t, 'j', {
    'a.log': [{ at: 900, part: 'jobs', message: 'gave a job to its other owner', job: 'j', to: 'b' }],
    'b.log': [taken(1_000)]
  })
  t.deepEqual(listOwn(trace), ['b took a job over', 'a gave a job to its other owner'])
})

test('lines of a process keep their order when its clock is set back', async t => {
  const trace = await read(t, 'j', { 'a.log': [accepted(5_000), started(1_000, 'i1'), ended(1_100, 'i1')] })
  t.deepEqual(listOwn(trace), ['a confirmed a job', 'a started an item i1', 'a an item ended i1'])
  t.regex(trace.events[1]!.inferred!, /timestamp 4000 ms before that of a line above: .*clock was set back/)
})

test('where constraints contradict each other, one is ignored and every line is shown', async t => {
  const trace = await read(t, 'j', {
    'a.log': [{ at: 0, part: 'jobs', message: 'gave a job to its other owner', job: 'j', to: 'b' }, accepted(10)],
    'b.log': [taken(5)]
  })
  t.deepEqual(listOwn(trace), ['a gave a job to its other owner', 'a confirmed a job', 'b took a job over'])
})

test('lines of the traced id show the configuration and server states that the daemon used, with their ages', async t => {
  const trace = await read(t, 'r', {
    'a.log': [
      { at: 0, part: 'fleet', message: 'a configuration is in force', version: 7, routes: 2 },
      { at: 1_000, part: 'fleet', message: 'a server changed', server: 's1', state: 'live' },
      { at: 2_000, level: 'warn', part: 'fleet', message: 'the store does not answer', kind: 'instances', error: 'unavailable' },
      { at: 3_500, part: 'routing', message: 'a send failed', request: 'r', server: 's1', why: 'cut' },
      { at: 4_000, part: 'fleet', message: 'the store answers again', kind: 'instances', revision: 9 },
      { at: 4_100, part: 'kernel', message: 'starts' },
      answered(4_200, 'r')
    ]
  })
  const [cut, whole] = trace.events.filter(({ kind }) => kind === 'own')
  t.deepEqual(cut!.inputs, { configuration: { version: 7, age: 3_500 }, servers: [{ server: 's1', state: 'live', age: 2_500 }], storeAway: 1_500 })
  t.regex(cut!.detail!, /why=cut \[based on configuration 7 for 3500 ms, s1 live for 2500 ms, store unavailable for 1500 ms\]/)
  // A restarted process holds no state.
  t.deepEqual(whole!.inputs, { servers: [] })
})

// A partitioned daemon keeps using an old configuration and a server that has left, and its own log shows nothing wrong.
test('newer state at other daemons is shown', async t => {
  const trace = await read(t, 'r', {
    'a.log': [
      { at: 0, part: 'fleet', message: 'a configuration is in force', version: 7 },
      { at: 0, part: 'fleet', message: 'a server changed', server: 's1', state: 'live' },
      { at: 5_000, part: 'routing', message: 'a send failed', request: 'r', server: 's1', why: 'cut' }
    ],
    'b.log': [
      { at: 3_000, part: 'fleet', message: 'a configuration is in force', version: 8 },
      { at: 4_000, part: 'fleet', message: 'a server changed', server: 's1', state: 'gone' },
      { at: 6_000, part: 'fleet', message: 'a configuration is in force', version: 9 }
    ]
  })
  t.regex(trace.events.at(-1)!.detail!, /\[based on configuration 7 for 5000 ms \(elsewhere 8 for 2000 ms\), s1 live for 5000 ms \(elsewhere gone for 1000 ms\)\]/)
})

test('warnings, server changes and failures of other requests on the same servers are shown, and nothing of other servers or instances', async t => {
  const trace = await read(t, 'r', {
    'a.log': [
      { at: 0, part: 'fleet', message: 'a server changed', server: 's1', state: 'gone' },
      { at: 10, part: 'fleet', message: 'a server changed', server: 's9', state: 'gone' },
      refused(1_000, 'too early'),
      refused(4_100, 'beside'),
      { at: 4_200, part: 'routing', message: 'a send failed', request: 'other', server: 's1', why: 'cut' },
      answered(4_300, 'usual'), answered(4_310, 'usual 2'), answered(4_320, 'elsewhere', 's9'),
      answered(4_500, 'r')
    ],
    'c.log': [refused(4_400, 'at another instance')]
  })
  t.deepEqual(trace.events.map(({ kind, what, request, server }) => [kind, what, request ?? server]), [
    ['belief', 'a server changed', 's1'],
    ['failure', 'abandoned a request', 'beside'],
    ['other', 'a send failed', 'other'],
    ['own', 'answered a request', 'r']
  ])
  t.deepEqual(trace.counted, [{ instance: 'a', what: 'routing: answered a request', server: 's1', count: 2 }])
})

test('of many similar failures within a second, some are shown and the rest counted', async t => {
  const rare = { ...refused(150, 'y'), cause: 'no server' }
  const trace = await read(t, 'r', { 'a.log': [...Array.from({ length: 20 }, (_, i) => refused(100 + i, `x${i}`)), rare, answered(500, 'r')] })
  const failures = trace.events.filter(({ kind }) => kind === 'failure')
  t.true(failures.some(({ request }) => request === 'y'))
  t.true(failures.length > 1)
  t.is(trace.counted.length, 1)
  t.is(trace.counted[0]!.what, 'routing: abandoned a request (overloaded)')
  t.is(failures.length + trace.counted[0]!.count, 21)
})

// A killed daemon may have logged nothing of the job. Its log is found by the name under which others refer to it.
test('a daemon that a line names by its address is included', async t => {
  const trace = await read(t, 'j', {
    'a.log': [{ at: 0, part: 'kernel', message: 'runs', name: '10.0.0.1:8326' }, { at: 1_500, level: 'error', part: 'entry', message: 'a request failed' }],
    'b.log': [taken(2_000)]
  })
  t.deepEqual(trace.instances, ['a', 'b'])
  t.true(trace.events.some(({ instance, kind }) => instance === 'a' && kind === 'failure'))
})

test('the trace of a server has its state changes at every daemon and its failures; routine requests are counted', async t => {
  const trace = await read(t, 's1', {
    'a.log': [{ at: 0, part: 'fleet', message: 'a server changed', server: 's1', state: 'live' }, answered(10, 'r'), { ...refused(20, 'q'), tried: ['s1'] }],
    'b.log': [{ at: 15, level: 'warn', part: 'quarantine', message: 'a server was lost with requests in flight', server: 's1', suspects: 2 }]
  })
  t.is(trace.type, 'server')
  t.deepEqual(listOwn(trace), ['a a server changed', 'b a server was lost with requests in flight', 'a abandoned a request q'])
  t.is(trace.counted[0]!.count, 1)
})

test('broken lines, files that are not logs and unreadable files are reported, and the rest is still read', async t => {
  const folder = writeLogs(t, {
    'a.log': ['{"torn', answered(0, 'r') as Readonly<Record<string, unknown>>, '{"request":"r","message":"cut sho', ''],
    'notes.txt': ['some words', '{"a":1}'],
    'sub/b.log': ['Jan 24 08:00:00 host app[7]: ' + JSON.stringify({ timestamp: '2026-01-24T08:00:00.100Z', instance: 'b', level: 'warn', part: 'routing', message: 'abandoned a request', request: 'r' })]
  })
  symlinkSync(join(folder, 'nowhere'), join(folder, 'link.log'))
  const trace = (await readTrace({ folder, id: 'r' })).unwrap()
  t.deepEqual(listOwn(trace), ['a answered a request r', 'b abandoned a request r'])
  const unread = new Map(trace.unread.map(one => [one.file, one]))
  t.deepEqual(unread.get('a.log'), { type: 'broken', file: 'a.log', count: 2, first: 1, withId: [{ number: 3, text: '{"request":"r","message":"cut sho' }] })
  t.deepEqual(unread.get('notes.txt'), { type: 'no log', file: 'notes.txt' })
  t.is(unread.get('link.log')!.type, 'unreadable')
  const text = showTrace(trace)
  t.regex(text, /a\.log: 2 broken lines, the first at 1\n {2}a\.log:3 has the id: .*cut sho/)
  t.regex(text, /notes\.txt is not a log/)
  t.regex(text, /link\.log can't be read/)
})

test('an overlong line is reported as broken, and the lines before it are kept', async t => {
  const folder = writeLogs(t, { 'a.log': [answered(0, 'r') as Readonly<Record<string, unknown>>, 'x'.repeat(3_000_000)] })
  const trace = (await readTrace({ folder, id: 'r' })).unwrap()
  t.is(listOwn(trace).length, 1)
  t.is(trace.unread[0]!.type, 'broken')
})

test('the older file of an instance is read first', async t => {
  const trace = await read(t, 'r', {
    'a.log': [answered(9_000, 'r')],
    'a.log.1': [{ at: 0, part: 'fleet', message: 'a configuration is in force', version: 7 }]
  })
  t.deepEqual(trace.events.at(-1)!.inputs?.configuration, { version: 7, age: 9_000 })
})

test('the page has the timeline, legend, longest gaps and notes, escaped, and is self-contained', async t => {
  const page = buildTracePage(await read(t, 'j', { ...JOB, 'c.log': ['{"<script>'] }))
  for (const text of ['jobs: took a job over', 'a: started an item, then an item ended', 'c.log is not a log', 'line of the traced id']) t.true(page.includes(text), text)
  t.false(/<script|src=|href=/.test(page))
})

test('a missing folder, a folder without logs and an unknown id are different errors', async t => {
  const folder = writeLogs(t, { 'a.log': [answered(0, 'r') as Readonly<Record<string, unknown>>, '{"request":"lost'] })
  const missing = await readTrace({ folder: join(folder, 'none'), id: 'r' })
  const unknown = await readTrace({ folder, id: 'lost' })
  const empty = await readTrace({ folder: writeLogs(t, { 'notes.txt': ['words'] }), id: 'r' })
  t.is(missing.err && missing.val.type, 'no folder')
  t.deepEqual(unknown.val, { type: 'unknown id', lines: 1, instances: 1, unread: [{ type: 'broken', file: 'a.log', count: 1, first: 2, withId: [{ number: 2, text: '{"request":"lost' }] }] })
  t.deepEqual(empty.val, { type: 'no log', files: 1, unread: [{ type: 'no log', file: 'notes.txt' }] })
})

const BLAMED = {
  'a.log': [
    { at: 0, level: 'warn', part: 'blame', message: 'a server was lost with prompt parts in flight', server: 's1', runs: 1, parts: ['5c1e', '91bd'] },
    { at: 300, level: 'warn', part: 'blame', message: 'refuses requests with a part that crashes servers', prompt: '91bd', beside: [], servers: ['s1', 's2', 's3'], passes: 0 }
  ],
  'b.log': [{ at: 60_000, level: 'warn', part: 'routing', message: 'abandoned a request', request: 'r1', cause: 'quarantined', prompt: '91bd', tried: [] }]
}

// Guards against a refused request whose trace doesn't tell which part it is refused for, and which servers were lost under that.
test('the trace of a request with a refused part shows the decision, made elsewhere and long before', async t => {
  const trace = await read(t, 'r1', BLAMED)
  t.deepEqual(trace.events.map(({ what, kind }) => `${kind}: ${what}`), ['failure: a server was lost with prompt parts in flight', 'failure: refuses requests with a part that crashes servers', 'own: abandoned a request'])
})

test('the trace of a part of prompts shows the losses held against it and what was refused for it', async t => {
  const trace = await read(t, '91bd', BLAMED)
  t.is(trace.type, 'part')
  t.is(trace.events.filter(({ kind }) => kind === 'own').length, 3)
})
