import test from 'ava'
import { compareWaiting } from '../../src/placement/compare-waiting.js'

const base = { arrived: 0, begun: 0, target: 300, priority: 0, returning: false }

// More requests than slots, for longer than the target: in the order of arrival each request would wait for those that are
// late already, and be late itself. Replayed: one slot each 50 ms, a request each 40 ms, for 4 s.
function countInTime (compare: (a: typeof base, b: typeof base, now: number) => number): number {
  const waiting: Array<typeof base> = []
  let inTime = 0
  for (let now = 0; now < 4_000; now += 10) {
    if (now % 40 === 0) waiting.push({ ...base, arrived: now, begun: now })
    if (now % 50 !== 0 || waiting.length === 0) continue
    waiting.sort((a, b) => compare(a, b, now))
    if (now - waiting.shift()!.arrived <= 195) inTime++
  }
  return inTime
}

test('an overload that lasts: most of the slots go to requests that are in time', t => {
  const byArrival = countInTime((a, b) => a.arrived - b.arrived)
  const byUse = countInTime(compareWaiting)
  t.log(`in time of 80 slots: by arrival ${byArrival}, by use ${byUse}`)
  t.true(byUse >= 75)
  t.true(byArrival < 30)
})

const cases: ReadonlyArray<readonly [string, Partial<typeof base>, Partial<typeof base>]> = [
  ['one that can be in time before a late one', { arrived: 900 }, { arrived: 100 }],
  ['a caller that comes back', { arrived: 950, returning: true }, { arrived: 900 }],
  ['but not once it is late itself', { arrived: 900 }, { arrived: 100, returning: true }],
  ['nor where it is late since its first try, which met nobody', { arrived: 900 }, { arrived: 950, begun: 200, returning: true }],
  ['the more urgent', { arrived: 950 }, { arrived: 900, priority: 2 }],
  ['the earlier', { arrived: 900 }, { arrived: 950 }]
]

for (const [name, first, second] of cases) {
  test(name, t => {
    const [a, b] = [first, second].map(values => ({ ...base, begun: values.arrived ?? base.begun, ...values }))
    t.true(compareWaiting(a!, b!, 1_000) < 0)
    t.true(compareWaiting(b!, a!, 1_000) > 0)
  })
}
