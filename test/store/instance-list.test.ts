import test from 'ava'
import 'reflect-metadata'
import type { Instance } from '../../src/store/instance.js'
import { InstanceList } from '../../src/store/instance-list.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

function createInstance (name: string): Instance {
  return { name, pool: 'p', host: '127.0.0.1', port: 1, failureDomain: 'a', region: 'r', state: 'live' }
}

async function startList (): Promise<{ list: InstanceList, store: MemoryStore, clock: VirtualClock, countReads: () => number }> {
  const store = new MemoryStore()
  const clock = new VirtualClock()
  const list = new InstanceList(store, clock)
  store.instances = [createInstance('one')]
  await list.start()
  return { list, store, clock, countReads: () => store.calls.filter(({ call }) => call === 'instances').length }
}

test('a reader reads the list each second', async t => {
  const { list, store, clock, countReads } = await startList()
  store.instances = [createInstance('one'), createInstance('two')]
  await clock.advance(5_000)
  t.is(countReads(), 6)
  t.is(list.all.length, 2)
})

test('a daemon that receives confirmations does not read, and takes the lists it is sent', async t => {
  const { list, clock, countReads } = await startList()
  list.isReader = false
  for (let second = 0; second < 20; second++) {
    list.confirm()
    await clock.advance(1_000)
  }
  t.is(countReads(), 1)
  const before = list.digest
  list.offer([createInstance('three')])
  t.deepEqual(list.all.map(({ name }) => name), ['three'])
  t.not(list.digest, before)
})

// All readers of a failure domain fail at once: the other daemons must not keep an old list.
test('a daemon whose readers are unresponsive reads the list itself', async t => {
  const { list, store, clock, countReads } = await startList()
  list.isReader = false
  store.instances = []
  await clock.advance(5_900)
  t.is(countReads(), 1)
  await clock.advance(200)
  t.is(countReads(), 2)
  t.deepEqual(list.all, [])
})

test('a reader with a list ignores those of other daemons', async t => {
  const { list } = await startList()
  list.offer([])
  t.is(list.all.length, 1)
})
