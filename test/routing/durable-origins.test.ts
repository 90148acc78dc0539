import test from 'ava'
import { Err, Ok } from 'ts-results'
import { DurableOrigins } from '../../src/routing/origins/durable-origins.js'
import { findStoredOrigin } from '../../src/routing/origins/find-stored-origin.js'
import type { ObjectStore } from '../../src/store/object-store.js'
import { ObjectTable } from '../../stand-ins/platform/object-table.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// Guards against origins of streams that are lost with the daemons that knew them, or that hold up streams while the store is away.

const LATENCY = 4 // ms
const KEEP = 60_000 // ms
const OLD = { pool: 'p', version: 'v1' }
const NEW = { pool: 'p', version: 'v2' }

/** A store on virtual time that may be away. */
class Store {
  readonly objects = new ObjectTable()
  writes = 0
  isAway = false

  constructor (readonly clock: VirtualClock) {}

  connect (): ObjectStore {
    const call = async <T>(run: () => T): Promise<T | ReturnType<typeof unavailable>> => {
      await new Promise<void>(resolve => { this.clock.after(LATENCY, resolve) })
      return this.isAway ? unavailable() : run()
    }
    const store = {
      get: async (kind: string, name: string) => await call(() => {
        const object = this.objects.read(kind, name)
        return object === undefined ? Err({ type: 'missing' }) : Ok(object)
      }),
      put: async (kind: string, name: string, value: unknown, version: number) => await call(() => {
        this.writes++
        const written = this.objects.write(kind, name, value, version)
        return typeof written === 'number' ? Err({ type: 'conflict', version: written }) : Ok(written)
      }),
      list: async (kind: string) => await call(() => Ok({ objects: this.objects.list(kind, '', '', 100) }))
    }
    return store as unknown as ObjectStore
  }
}

function unavailable (): Err<{ readonly type: 'unavailable', readonly reason: string }> {
  return Err({ type: 'unavailable', reason: 'away' })
}

function open (store: Store, instance = 'a'): DurableOrigins {
  return new DurableOrigins({ store: store.connect(), clock: store.clock, instance, keep: KEEP, countDaemons: () => 2 })
}

/** Returns how long a record is waited for, ms. */
async function measure (store: Store, recorded: Promise<unknown>): Promise<number> {
  const began = store.clock.now()
  let time = Infinity
  void recorded.then(() => { time = store.clock.now() - began })
  await store.clock.advance(1_000)
  return time
}

async function read (store: Store, origins: DurableOrigins): Promise<Awaited<ReturnType<DurableOrigins['read']>>> {
  const stored = origins.read()
  await store.clock.advance(100)
  return await stored
}

test('a record is in the store when its stream may be relayed', async t => {
  const store = new Store(new VirtualClock())
  t.is(await measure(store, open(store).record('s', NEW)), LATENCY)
  t.deepEqual([...(await read(store, open(store, 'b')))!.records], [['s', NEW]])
})

test('a stream at the default version is neither recorded nor held up', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  void origins.putDefault('p', 'v1')
  await store.clock.advance(100)
  const { writes } = store
  t.is(await measure(store, origins.record('s', OLD)), 0)
  t.is(store.writes, writes)
  t.is((await read(store, open(store, 'b')))!.defaults.get('p'), 'v1')
})

test('records of a former process of the instance stay beside those of the next one', async t => {
  const store = new Store(new VirtualClock())
  await measure(store, open(store).record('s', OLD))
  const next = open(store)
  for (const id of ['t', 'u']) await measure(store, next.record(id, NEW))
  t.deepEqual([...(await read(store, open(store, 'b')))!.records.keys()].sort(), ['s', 't', 'u'])
})

test('a stream that begins elsewhere than expected is recorded where it began', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  void origins.putDefault('p', 'v1')
  await store.clock.advance(100)
  origins.beginRecord('s', NEW)
  await measure(store, origins.record('s', OLD))
  t.deepEqual([...(await read(store, open(store, 'b')))!.records], [['s', OLD]])
})

test('an old record is dropped', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  await measure(store, origins.record('s', NEW))
  await store.clock.advance(KEEP)
  await measure(store, origins.record('t', NEW))
  t.deepEqual([...(await read(store, origins))!.records.keys()], ['t'])
})

test('while the store is away streams are held up once, and their records follow', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  store.isAway = true
  t.true(await measure(store, origins.record('s', NEW)) <= 250)
  t.is(await measure(store, origins.record('t', NEW)), 0)
  t.is(await read(store, origins), undefined)
  store.isAway = false
  await store.clock.advance(2_000)
  t.deepEqual([...(await read(store, origins))!.records.keys()].sort(), ['s', 't'])
})

test('many streams share few writes', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  for (let n = 0; n < 1_000; n++) {
    void origins.record(String(n), NEW)
    await store.clock.advance(1)
  }
  await store.clock.advance(1_000)
  t.true(store.writes <= 80, `${store.writes} writes in a second`)
  t.is((await read(store, origins))!.records.size, 1_000)
})

test('objects that are none of ours are passed over', async t => {
  const store = new Store(new VirtualClock())
  for (const [name, value] of Object.entries({ defaults: { pools: { p: 7, q: 'v1' } }, 'records-x': { groups: [{ pool: 1, version: 'v', ids: ['a'] }, { pool: 'p', version: 'v', ids: [3, 'b'] }, null] }, 'records-y': null, 'records-z': { groups: 'x' } })) store.objects.write('stream-origins', name, value, 0)
  const { defaults, records } = (await read(store, open(store)))!
  t.deepEqual([...defaults], [['q', 'v1']])
  t.deepEqual([...records], [['b', { pool: 'p', version: 'v' }]])
})

test('a stream whose record may be wrong isn\'t shown by the store until the right one is there', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  void origins.putDefault('p', 'v1')
  await store.clock.advance(100)
  origins.beginRecord('s', NEW)
  await store.clock.advance(100)
  store.isAway = true
  const recorded = origins.record('s', OLD, { wait: 3_000 })
  t.true(origins.isOverride('s'))
  await store.clock.advance(2_000)
  store.isAway = false
  await store.clock.advance(2_000)
  t.true(await recorded)
  t.false(origins.isOverride('s'))
  t.deepEqual([...(await read(store, open(store, 'b')))!.records], [['s', OLD]])
})

test('writes that fail or take long put the next records in doubt, for a while', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  t.false(origins.isInDoubt)
  store.isAway = true
  void origins.record('s', NEW)
  await store.clock.advance(50)
  t.true(origins.isInDoubt)
  store.isAway = false
  await store.clock.advance(1_000)
  t.false(origins.isInDoubt)
})

// Guards against streams that go on at the default version because there are too many records to keep theirs.
for (const [name, count, length] of [['many', 4_200, 10], ['few, with long ids,', 1_300, 250]] as const) {
  test(`a pool of which ${name} records were dropped has no default until none of their streams can be resumed`, async t => {
    const store = new Store(new VirtualClock())
    const origins = open(store)
    void origins.putDefault('p', 'v1')
    for (let n = 0; n < count; n++) void origins.record(String(n).padStart(length, '0'), NEW)
    await store.clock.advance(1_000)
    const stored = await read(store, open(store, 'b'))
    t.true(stored!.records.size < count)
    t.is(findStoredOrigin(stored, { id: '0'.padStart(length, '0'), pool: 'p' }), undefined)
    t.like(findStoredOrigin(stored, { id: String(count - 1).padStart(length, '0'), pool: 'p' }), { origin: NEW })
    await store.clock.advance(KEEP + 1_000)
    void origins.record('next', NEW)
    await store.clock.advance(1_000)
    t.like(findStoredOrigin(await read(store, open(store, 'b')), { id: '0'.padStart(length, '0'), pool: 'p' }), { origin: OLD })
  })
}

test('a default is withdrawn and set again', async t => {
  const store = new Store(new VirtualClock())
  const origins = open(store)
  for (const [version, expected] of [['v1', { defaults: new Map([['p', 'v1']]), withdrawn: new Set() }], [undefined, { defaults: new Map(), withdrawn: new Set(['p']) }], ['v2', { defaults: new Map([['p', 'v2']]), withdrawn: new Set() }]] as const) {
    void origins.putDefault('p', version)
    await store.clock.advance(100)
    const { defaults, withdrawn } = (await read(store, open(store, 'b')))!
    t.deepEqual({ defaults, withdrawn }, expected as never)
  }
})

// Guards against first events that wait seconds for their records, since a large fleet shares the writes.
test('records are in time in fleets of up to twenty daemons', t => {
  const store = new Store(new VirtualClock())
  const check = (daemons: number): boolean => new DurableOrigins({ store: store.connect(), clock: store.clock, instance: 'a', keep: KEEP, countDaemons: () => daemons }).isRecordedInTime
  t.deepEqual([3, 20, 21, 57, 380].map(check), [true, true, false, false, false])
})
