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

test('a daemon that reads the list does so each second', async t => {
  const { list, store, clock, countReads } = await startList()
  store.instances = [createInstance('one'), createInstance('two')]
  await clock.advance(5_000)
  t.is(countReads(), 6)
  t.is(list.all.length, 2)
})

test('a daemon that is told doesn\'t read, and takes what it is told', async t => {
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

// The readers of a failure domain are lost at once: those they told would keep an old list for ever.
test('a daemon whose readers have gone silent reads for itself', async t => {
  const { list, store, clock, countReads } = await startList()
  list.isReader = false
  store.instances = []
  await clock.advance(5_900)
  t.is(countReads(), 1)
  await clock.advance(200)
  t.is(countReads(), 2)
  t.deepEqual(list.all, [])
})

test('a reader that knows the list is not moved by another\'s', async t => {
  const { list } = await startList()
  list.offer([])
  t.is(list.all.length, 1)
})
