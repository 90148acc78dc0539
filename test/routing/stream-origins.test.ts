import 'reflect-metadata'
import test from 'ava'
import { Ok } from 'ts-results'
import { encodeOrigins } from '../../src/routing/origins/encode-origins.js'
import { StreamOrigins } from '../../src/routing/origins/stream-origins.js'
import { Metrics } from '../../src/observe/metrics.js'
import { ObjectTable } from '../../stand-ins/platform/object-table.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

type Parameters = ConstructorParameters<typeof StreamOrigins>

/** Opens the part of a daemon that knows no other, before a store in this process. */
function open (objects: ObjectTable): StreamOrigins {
  const parts = [
    { all: [], subscribe: () => () => {} }, { readServersAge: () => 0 }, { value: {} }, { all: () => [] }, { send: () => {} }, new Metrics(),
    { list: async (kind: string) => Ok({ objects: objects.list(kind, '', '', 100) }) }, { write: () => {} }, { instance: 'a' }, new VirtualClock()
  ]
  return new StreamOrigins(...parts as unknown as Parameters)
}

// Guards against a stream that goes on at the version of a server that was expected to begin it and refused, as read for another stream.
test('a record that was read from the store for another stream does not decide later', async t => {
  const objects = new ObjectTable()
  const put = (version: string): void => { objects.write('stream-origins', 'records-b', { groups: encodeOrigins(new Map([['s', { pool: 'p', version }]])) }, objects.read('stream-origins', 'records-b')?.version ?? 0) }
  const origins = open(objects)
  put('v2')
  await origins.find({ id: 'other', pool: 'p' })
  put('v1')
  t.deepEqual(await origins.find({ id: 's', pool: 'p' }), { type: 'known', origin: { pool: 'p', version: 'v1' }, by: 'stored record' })
})
