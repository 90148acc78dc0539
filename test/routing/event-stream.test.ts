import test from 'ava'
import fc from 'fast-check'
import { SseSplitter } from '../../src/routing/sse-splitter.js'
import { planResend } from '../../src/routing/plan-resend.js'
import { stepEventProgress } from '../../src/routing/step-event-progress.js'

const stream = Buffer.concat([Buffer.from('id: 1\ndata: a\n\nx-versions: 3\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: \u00e9'), Buffer.from([0xff, 0x80]), Buffer.from('\r\n\r\n: ping\n\nid: 4\nda')])

test('however a stream is split, its events come out whole and unchanged, and a broken one not at all', t => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: stream.length })), cuts => {
    const places = [0, ...[...new Set(cuts)].sort((a, b) => a - b), stream.length]
    const splitter = new SseSplitter()
    const events = places.slice(1).flatMap((end, i) => splitter.push(stream.subarray(places[i], end)))
    return Buffer.concat(events.map(({ bytes }) => bytes)).equals(stream.subarray(0, stream.indexOf('id: 4'))) &&
      events.map(({ id }) => id).join() === '1,2,3,' && events[1]!.data === 'b\nc' && !splitter.isAtBoundary
  }))
  t.pass()
})

// A server breaks off in the middle of an event and another one goes on behind the last whole one. Joined anywhere else,
// the caller would see an event twice, or one too few, in an answer that ends as whole.
const steps: ReadonlyArray<readonly [number | undefined, number | undefined, ReturnType<typeof stepEventProgress>['type']]> = [
  [undefined, 1, 'relay'], [undefined, 5, 'relay'], [4, 5, 'relay'], [4, 4, 'known'], [4, 1, 'known'], [4, 6, 'gap'], [4, undefined, 'relay']
]

for (const [last, id, type] of steps) {
  test(`event ${id} after ${last}: ${type}`, t => { t.is(stepEventProgress({ last }, id).type, type) })
}

const failure = { why: 'cut', sent: true, detail: '' } as const
const state = { idempotent: false, resumable: false, begun: false, runs: 1, attempts: 2, sends: 1, gone: false }
const plans: ReadonlyArray<readonly [string, Partial<typeof failure> | { sent: false }, Partial<typeof state>, 'send' | 'give up']> = [
  ['never sent: any other server may take it', { sent: false }, { runs: 0 }, 'send'],
  ['never sent now, but it may have run before', { sent: false }, { runs: 1 }, 'give up'],
  ['it may have run and may not be repeated', {}, {}, 'give up'],
  ['it may be repeated on one more server', {}, { idempotent: true }, 'send'],
  ['as many servers as the route allows have run it', {}, { idempotent: true, runs: 2 }, 'give up'],
  ['a begun stream that can be resumed', {}, { idempotent: true, resumable: true, begun: true }, 'send'],
  ['a begun stream that can not', {}, { idempotent: true, begun: true }, 'give up'],
  ['its caller has left', { sent: false }, { runs: 0, gone: true }, 'give up'],
  ['one full server after the other', { sent: false }, { runs: 0, sends: 6 }, 'give up']
]

for (const [name, why, change, plan] of plans) {
  test(name, t => { t.is(planResend({ ...failure, ...why }, { ...state, ...change }), plan) })
}
