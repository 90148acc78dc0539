import test from 'ava'
import fc from 'fast-check'
import { StoreMirror } from '../../src/store/store-mirror.js'

const put = (name: string, version: number, value = version): { kind: string, name: string, version: number, value: number } => ({ kind: 'k', name, version, value })

// Changes of one object arrive from the store and from several daemons, late, twice and in any order. A change older than an
// object's removal must not restore it.
test('changes in any order, some of them twice, lead to the newest state', t => {
  const updates = [
    { revision: 1, changed: [put('a', 1)], deleted: [] },
    { revision: 2, changed: [put('b', 2)], deleted: [] },
    { revision: 3, changed: [put('a', 3)], deleted: [] },
    { revision: 4, changed: [], deleted: ['b'] },
    { revision: 5, changed: [put('c', 5)], deleted: [] }
  ]
  fc.assert(fc.property(fc.shuffledSubarray([...updates, ...updates], { minLength: 10 }), batches => {
    const mirror = new StoreMirror<number>()
    for (const batch of batches) mirror.merge(batch)
    return JSON.stringify([...mirror.list()].sort()) === '[["a",3],["c",5]]'
  }))
  t.pass()
})

test('a whole batch removes objects that it does not contain, but none newer than it', t => {
  const mirror = new StoreMirror<number>()
  mirror.apply({ revision: 4, changed: [put('a', 1), put('b', 4)], deleted: [], whole: true })
  mirror.merge({ revision: 9, changed: [put('c', 9)], deleted: [] })
  t.deepEqual(mirror.apply({ revision: 6, changed: [put('b', 4)], deleted: [], whole: true }), ['a'])
  t.deepEqual([...mirror.list().keys()], ['b', 'c'])
  t.is(mirror.cursor, 6)
})

test('a value that can not be decoded is held but not listed', t => {
  const mirror = new StoreMirror<number>()
  mirror.apply({ revision: 2, changed: [{ kind: 'k', name: 'a', version: 2, value: undefined as unknown as number }], deleted: [] })
  t.is(mirror.list().size, 0)
})
