import test from 'ava'
import { EventRun } from '../../src/routing/streams/event-run.js'

const FIRST = 'id: 1\ndata: a\n\n'
const PADDING = `:${' '.repeat(2_000)}\n\n`

/** What a run repeats, how often, and the time between two of them, ms. */
const cases: ReadonlyArray<readonly [string, { readonly text: string, readonly times: number, readonly interval: number }, boolean]> = [
  ['comments at once', { text: ': more\n\n', times: 1_000, interval: 0 }, true],
  ['comments faster than any connection needs', { text: ': more\n\n', times: 10_000, interval: 1 }, true],
  ['ten comments a second for ten minutes', { text: ': more\n\n', times: 6_000, interval: 100 }, false],
  ['padded comments each second for ten minutes', { text: PADDING, times: 600, interval: 1_000 }, false],
  ['the same event at once', { text: FIRST, times: 1_000, interval: 0 }, true],
  ['events without an id between numbered ones at once', { text: 'data: a\n\n', times: 1_000, interval: 0 }, true],
  ['empty lines at once', { text: '\n\n', times: 1_000, interval: 0 }, true]
]

for (const [name, { text, times, interval }, isBrokenOff] of cases) {
  // Guards against a stream that takes processor time for nothing, and against a sound one that is broken off for its comments.
  test(`${name}: ${isBrokenOff ? 'broken off' : 'allowed'}`, t => {
    let now = 0
    const run = new EventRun(undefined, () => now)
    t.true(run.push(Buffer.from(FIRST)).ok)
    const results = Array.from({ length: times }, () => {
      now += interval
      return run.push(Buffer.from(text)).err
    })
    t.is(results.includes(true), isBrokenOff)
  })
}

// Guards against a new run that is broken off while it repeats the events that its caller has.
test('a run may repeat all events of a long stream at once', t => {
  const run = new EventRun(5_000, () => 0)
  const events = Array.from({ length: 5_001 }, (_, i) => `id: ${i + 1}\ndata: some text of the stream\n\n`).join('')
  const pushed = run.push(Buffer.from(events))
  t.true(pushed.ok)
  t.is(run.last, 5_001)
})

// Guards against a stream of text without ids that is broken off for its rate.
test('events with data may come without ids, however fast', t => {
  t.true(new EventRun(undefined, () => 0).push(Buffer.from('data: a\n\n'.repeat(10_000))).ok)
})
