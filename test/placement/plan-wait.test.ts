import test from 'ava'
import { planWait } from '../../src/placement/plan-wait.js'

const base = { ahead: 0, interval: 50, holdTime: 800, waited: 0, target: 300, left: 5_000, beginWithin: Infinity, returning: false }

const cases: ReadonlyArray<readonly [string, Partial<typeof base>, 'wait' | 'refuse']> = [
  ['a slot is expected in time', { ahead: 2 }, 'wait'],
  ['too many are ahead: refused at once, while it can still come back in time', { ahead: 4 }, 'refuse'],
  ['slots come free too slowly', { interval: 400 }, 'refuse'],
  ['it has waited too long for an early refusal: late is better than none', { ahead: 4, waited: 80 }, 'wait'],
  ['a caller that comes back has no further try', { ahead: 20, returning: true }, 'wait'],
  ['unless its time has no room for it', { ahead: 80, returning: true }, 'refuse'],
  ['its time has no room for the answer itself', { returning: true, left: 850 }, 'refuse'],
  ['one that comes back waits on', { returning: true, waited: 2_100, left: 2_900 }, 'wait'],
  ['its caller leaves before its turn', { ahead: 9, returning: true, beginWithin: 400 }, 'refuse'],
  ['its caller, who has no further try, leaves right behind it', { ahead: 9, returning: true, beginWithin: 600 }, 'wait'],
  ['it has waited for long: told while it has time for something else', { waited: 2_100, left: 2_900 }, 'refuse']
]

for (const [name, state, type] of cases) {
  test(name, t => { t.is(planWait({ ...base, ...state }).type, type) })
}

test('what waits early is looked at again before a refusal would be late', t => {
  t.deepEqual(planWait({ ...base, waited: 10 }), { type: 'wait', recheckAfter: 50 })
  t.deepEqual(planWait({ ...base, waited: 100 }), { type: 'wait', recheckAfter: 250 })
})

test('a refused caller is told to come back when there may be room', t => {
  const refusal = planWait({ ...base, ahead: 40 })
  t.deepEqual(refusal, { type: 'refuse', retryAfter: 41 * 50 })
})
