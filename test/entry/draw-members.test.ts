import test from 'ava'
import { drawMembers } from '../../src/entry/draw-members.js'
import { Random } from '../../src/kernel/random.js'
import type { Member } from '../../src/peers/member.js'

const ANSWERS = 4_000
const ADDRESSES = 32

function createMember (name: string, cores: number | undefined): Member {
  return { instance: { name, pool: 'entry', host: 'h', port: 1, failureDomain: 'a', region: 'r', state: 'live', ...cores !== undefined && { cores } }, state: 'alive', ready: true, run: 1 }
}

/** Returns each member's share of the requests, when callers choose evenly among the addresses of an answer. */
function measureShares (members: readonly Member[]): ReadonlyMap<string, number> {
  const random = new Random(5)
  const shares = new Map(members.map(({ instance }) => [instance.name, 0]))
  for (let n = 0; n < ANSWERS; n++) {
    const drawn = drawMembers(members, { count: ADDRESSES, random })
    for (const { instance: { name } } of drawn) shares.set(name, shares.get(name)! + 1 / drawn.length / ANSWERS)
  }
  return shares
}

// Guards against a fleet of more daemons than one answer lists, of which callers use only those listed first.
test('all daemons of a large fleet get requests, the large ones more', t => {
  const members = Array.from({ length: 165 }, (_, n) => createMember(`d${n}`, n < 15 ? 1.35 : 0.324))
  const shares = [...measureShares(members).values()]
  const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  const [large, small] = [shares.slice(0, 15), shares.slice(15)]
  t.log({ large: mean(large), small: mean(small), most: Math.max(...small) / mean(small), least: Math.min(...small) / mean(small) })
  t.true(Math.max(...small) <= 1.25 * mean(small) && Math.min(...small) >= 0.75 * mean(small))
  t.true(mean(large) >= 2 * mean(small))
  // No daemon gets more for its processor time than the others.
  t.true(mean(large) / 1.35 <= 1.1 * mean(small) / 0.324)
})

test('daemons whose processor time is not known get equal shares', t => {
  const shares = [...measureShares(Array.from({ length: 80 }, (_, n) => createMember(`d${n}`, undefined))).values()]
  t.true(Math.max(...shares) <= 1.25 / 80 && Math.min(...shares) >= 0.75 / 80)
})

test('a small fleet is listed whole', t => {
  const members = Array.from({ length: 8 }, (_, n) => createMember(`d${n}`, 0.675))
  t.is(drawMembers(members, { count: ADDRESSES, random: new Random(1) }).length, 8)
})
