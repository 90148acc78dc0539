import test from 'ava'
import { chooseAddresses } from '../../src/entry/choose-addresses.js'
import { ConnectionTable } from '../../src/entry/connection-table.js'
import type { Member } from '../../src/peers/member.js'

function createMember (name: string, failureDomain: string, change: Partial<Member> = {}): Member {
  return { instance: { name, pool: 'entry', host: 'h', port: 1, failureDomain, region: 'r', state: 'live' }, state: 'alive', ready: true, run: 1, ...change }
}

const fleet = ['a', 'b', 'c'].flatMap(domain => [0, 1, 2].map(n => createMember(`${domain}${n}`, domain)))

test('a caller gets three addresses, each of another failure domain', t => {
  for (const caller of ['x', 'y', 'z']) {
    const domains = chooseAddresses(fleet, caller).map(({ instance }) => instance.failureDomain)
    t.deepEqual([...domains].sort(), ['a', 'b', 'c'])
  }
  t.is(chooseAddresses(fleet.slice(0, 3), 'x').length, 3)
})

test('callers spread over all daemons', t => {
  const counts = new Map<string, number>()
  for (let i = 0; i < 900; i++) {
    const { name } = chooseAddresses(fleet, `caller-${i}`)[0]!.instance
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  t.is(counts.size, fleet.length)
  t.true(Math.max(...counts.values()) < 150)
})

test('members that are leaving, suspect or without a configuration are left out', t => {
  const members = [createMember('a', 'a', { state: 'leaving' }), createMember('b', 'b', { state: 'suspect' }), createMember('c', 'c', { ready: false }), createMember('d', 'd')]
  t.deepEqual(chooseAddresses(members, 'x').map(({ instance }) => instance.name), ['d'])
})

test('the connection table counts connections by address and lists idle ones', t => {
  const table = new ConnectionTable<string>()
  table.add('one', 'address', 0)
  table.add('two', 'address', 0)
  table.begin('two')
  t.is(table.count('address'), 2)
  t.deepEqual(table.listIdle(6_000, 6_000), ['one'])
  table.end('two', 6_000)
  t.deepEqual(table.listIdle(6_000, 6_000), ['one'])
  table.remove('one')
  table.remove('two')
  t.is(table.count('address'), 0)
  t.false(table.begin('two'))
})
