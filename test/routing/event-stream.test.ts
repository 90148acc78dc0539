import test from 'ava'
import fc from 'fast-check'
import { SseSplitter } from '../../src/routing/streams/sse-splitter.js'
import { planResend } from '../../src/routing/plan-resend.js'
import { stepEventProgress } from '../../src/routing/streams/step-event-progress.js'

const stream = Buffer.concat([Buffer.from('id: 1\ndata: a\n\nx-versions: 3\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: \u00e9'), Buffer.from([0xff, 0x80]), Buffer.from('\r\n\r\n: ping\n\nid: 4\nda')])

test('events are complete and unchanged however the stream is split, and an incomplete one is held back', t => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: stream.length })), cuts => {
    const places = [0, ...[...new Set(cuts)].sort((a, b) => a - b), stream.length]
    const splitter = new SseSplitter()
    const events = places.slice(1).flatMap((end, i) => splitter.push(stream.subarray(places[i], end)))
    return Buffer.concat(events.map(({ bytes }) => bytes)).equals(stream.subarray(0, stream.indexOf('id: 4'))) &&
      events.map(({ id }) => id).join() === '1,2,3,' && events[1]!.data === 'b\nc' && !splitter.isAtBoundary
  }))
  t.pass()
})

// Guards against a missing or repeated event where another server continues a stream.
const steps: ReadonlyArray<readonly [number | undefined, number | undefined, ReturnType<typeof stepEventProgress>['type']]> = [
  [undefined, 1, 'relay'], [undefined, 5, 'relay'], [4, 5, 'relay'], [4, 4, 'known'], [4, 1, 'known'], [4, 6, 'gap'], [4, undefined, 'relay']
]

for (const [last, id, type] of steps) {
  test(`event ${id} after ${last}: ${type}`, t => { t.is(stepEventProgress({ last }, id).type, type) })
}

const failure = { why: 'cut', sent: true, detail: '' } as const
const state = { idempotent: false, resumable: false, begun: false, runs: 1, attempts: 2, sends: 1, abandoned: false }
const plans: ReadonlyArray<readonly [string, Partial<typeof failure> | { sent: false }, Partial<typeof state>, 'send' | 'give up']> = [
  ['not sent: any other server may run it', { sent: false }, { runs: 0 }, 'send'],
  ['not sent now, but it may have run before', { sent: false }, { runs: 1 }, 'give up'],
  ['it may have run and is not idempotent', {}, {}, 'give up'],
  ['it is idempotent and may run on one more server', {}, { idempotent: true }, 'send'],
  ['it has run as often as the route allows', {}, { idempotent: true, runs: 2 }, 'give up'],
  ['a begun stream that can be resumed', {}, { idempotent: true, resumable: true, begun: true }, 'send'],
  ['a begun stream that can not be resumed', {}, { idempotent: true, begun: true }, 'give up'],
  ['its caller has left', { sent: false }, { runs: 0, abandoned: true }, 'give up'],
  ['the limit of sends is reached', { sent: false }, { runs: 0, sends: 6 }, 'give up'],
  ['a begun stream after six servers that were full', { sent: false }, { idempotent: true, resumable: true, begun: true, sends: 6 }, 'send']
]

for (const [name, why, change, plan] of plans) {
  test(name, t => { t.is(planResend({ ...failure, ...why }, { ...state, ...change }), plan) })
}
