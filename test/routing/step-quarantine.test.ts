import test from 'ava'
import fc from 'fast-check'
import type { QuarantineEvent } from '../../src/routing/quarantine-event.js'
import type { QuarantineState } from '../../src/routing/quarantine-state.js'
import { stepQuarantine } from '../../src/routing/step-quarantine.js'

const KEEP = 10_000
const EMPTY: QuarantineState = { inFlight: new Map(), suspects: new Map() }

function run (events: readonly QuarantineEvent[], now = 0): QuarantineState {
  return events.reduce((state, event) => stepQuarantine(state, event, { now, keep: KEEP }).state, EMPTY)
}

function countLosses (state: QuarantineState, fingerprint: string): number {
  return state.suspects.get(fingerprint)?.losses.length ?? 0
}

test('all in flight at the lost server are held, nobody elsewhere', t => {
  const state = run([
    { type: 'began', exchange: 0, fingerprint: 'poison', server: 'a' },
    { type: 'began', exchange: 1, fingerprint: 'bystander', server: 'a' },
    { type: 'began', exchange: 2, fingerprint: 'elsewhere', server: 'b' },
    { type: 'began', exchange: 3, fingerprint: 'done', server: 'a' },
    { type: 'ended', exchange: 3 },
    { type: 'lost', server: 'a' }
  ])
  t.deepEqual([...state.suspects.keys()], ['poison', 'bystander'])
})

test('one loss told by several daemons counts once, a later loss of the restarted server again', t => {
  const told: QuarantineEvent = { type: 'accused', fingerprints: ['poison'], server: 'a' }
  const once = run([told, told, told])
  t.is(countLosses(once, 'poison'), 1)
  t.is(countLosses(stepQuarantine(once, told, { now: 6_000, keep: KEEP }).state, 'poison'), 2)
})

test('daemons that hear of the same losses in any order hold the same against each fingerprint', t => {
  const loss = fc.record({
    type: fc.constant('accused' as const),
    fingerprints: fc.uniqueArray(fc.constantFrom('p', 'q', 'r'), { minLength: 1 }),
    server: fc.constantFrom('a', 'b', 'c')
  })
  t.notThrows(() => fc.assert(fc.property(fc.array(loss), fc.infiniteStream(fc.nat()), (losses, draws) => {
    const other = [...losses, ...losses].map(event => ({ event, key: draws.next().value })).sort((x, y) => x.key - y.key).map(({ event }) => event)
    return ['p', 'q', 'r'].every(fingerprint => countLosses(run(losses), fingerprint) === countLosses(run(other), fingerprint))
  }), { seed: 7, numRuns: 300 }))
})
