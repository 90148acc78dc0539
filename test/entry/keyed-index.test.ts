import 'reflect-metadata'
import test from 'ava'
import { KeyedIndex } from '../../src/entry/keyed-index.js'
import type { Settings } from '../../src/kernel/settings.js'
import type { Members } from '../../src/peers/members.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const DAY = 86_400_000
const MINUTE = 60_000

// Guards against a key that is removed although it was used again, so that its request could run twice, and against listing all keys.
test('one daemon removes expired keys, and keys used again stay', async t => {
  const store = new MemoryStore()
  const clock = new VirtualClock()
  const create = (instance: string): KeyedIndex => {
    const members = { run: 1, owners: () => ['a', 'b'] } as unknown as Members
    return new KeyedIndex(store, clock, { instance } as unknown as Settings, members)
  }
  const indexes = ['a', 'b'].map(create)
  for (const index of indexes) await index.start()
  const claim = async (name: string, version = 0): Promise<number> => (await store.put('keyed', name, { at: clock.date() }, version)).unwrap().version
  for (const [i, name] of ['old-0', 'old-1', 'again'].entries()) {
    await claim(name)
    indexes[i % 2]!.add(name)
  }
  await clock.advance(MINUTE)
  t.is(store.objects.list('keyed-day', '', '', 10).length, 2)
  clock.pause(2 * DAY)
  await claim('again', store.objects.read('keyed', 'again')!.version)
  store.calls.length = 0
  await clock.advance(15 * MINUTE)
  t.deepEqual(store.objects.list('keyed', '', '', 10).map(({ name }) => name), ['again'])
  t.is(store.objects.list('keyed-day', '', '', 10).length, 0)
  t.false(store.calls.some(({ call, kind }) => call === 'list' && kind === 'keyed'))
  t.is(store.calls.filter(({ call, kind }) => call === 'delete' && kind === 'keyed').length, 2)
})
