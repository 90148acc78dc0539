import 'reflect-metadata'
import test from 'ava'
import { Err, Ok } from 'ts-results'
import { Extensions } from '../../src/kernel/extensions.js'
import { Metrics } from '../../src/observe/metrics.js'
import { peerHandlerPoint } from '../../src/peers/peer-handler-point.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import { StreamOrigins } from '../../src/routing/origins/stream-origins.js'
import { ObjectTable } from '../../stand-ins/platform/object-table.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

// Guards against streams that go on at the version where they were only expected to begin: its server failed before their first event.

const SPAN = 5_000
const [EXPECTED, BEGUN] = [{ pool: 'p', version: 'v2' }, { pool: 'p', version: 'v1' }]
const NAMES = ['a', 'b', 'c'] as const
type Name = typeof NAMES[number]
type Arguments = ConstructorParameters<typeof StreamOrigins>

/** Daemons that share a store; `mutes` are told of no stream, and writes may be lost. */
class Fleet {
  readonly clock = new VirtualClock()
  readonly mutes = new Set<string>()
  losesWrites = false
  private readonly objects = new ObjectTable()
  private readonly daemons = new Map<string, { readonly origins: StreamOrigins, readonly extensions: Extensions }>()

  async start (name: Name): Promise<StreamOrigins> {
    const origins = new StreamOrigins(...this.build(name))
    const extensions = new Extensions()
    extensions.add(origins.extensions)
    this.daemons.set(name, { origins, extensions })
    await origins.start()
    await this.clock.advance(100)
    return origins
  }

  async find (origins: StreamOrigins): Promise<unknown> {
    const found = origins.find({ id: 's', pool: 'p' })
    await this.clock.advance(1_000)
    return await found
  }

  private send (from: string, to: string, message: PeerMessage): void {
    if (message.type === 'stream origin' && this.mutes.has(to)) return
    for (const { type, handle } of this.daemons.get(to)?.extensions.collect(peerHandlerPoint) ?? []) if (type === message.type) void handle(message, from)
  }

  private build (name: Name): Arguments {
    const servers = ['v1', 'v2'].map(version => ({ name: version, pool: 'p' }))
    const store = {
      get: async (kind: string, object: string) => {
        const found = this.objects.read(kind, object)
        return found === undefined ? Err({ type: 'missing' }) : Ok(found)
      },
      put: async (kind: string, object: string, value: unknown, version: number) => {
        const written = this.losesWrites ? undefined : this.objects.write(kind, object, value, version)
        return written === undefined ? Err({ type: 'unavailable', reason: 'away' }) : typeof written === 'number' ? Err({ type: 'conflict', version: written }) : Ok(written)
      },
      list: async (kind: string) => Ok({ objects: this.objects.list(kind, '', '', 100) })
    }
    const parts = [
      { all: servers, subscribe: () => () => {}, findVersion: (server: string) => server },
      { readServersAge: () => 0 },
      { value: { routes: [] } },
      { all: () => NAMES.map(instance => ({ instance: { name: instance } })) },
      { send: (to: string, message: PeerMessage) => this.send(name, to, message) },
      new Metrics(), store, { write: () => {} }, { instance: name }, this.clock
    ]
    return parts as unknown as Arguments
  }
}

test('a daemon that has read the expected version goes on at the version that the stream began at', async t => {
  const fleet = new Fleet()
  const [a, b] = [await fleet.start('a'), await fleet.start('b')]
  await fleet.start('c')
  a.beginRecord('s', EXPECTED, SPAN)
  await fleet.clock.advance(100)
  await fleet.find(b)
  fleet.mutes.add('b')
  void a.record({ id: 's', origin: BEGUN, span: SPAN })
  await fleet.clock.advance(1_000)
  t.like(await fleet.find(b), { type: 'known', origin: BEGUN })
})

test('while the store has the expected version only, a daemon that has just started goes on at the version that the stream began at', async t => {
  const fleet = new Fleet()
  const a = await fleet.start('a')
  await fleet.start('c')
  a.beginRecord('s', EXPECTED, SPAN)
  await fleet.clock.advance(100)
  fleet.losesWrites = true
  void a.record({ id: 's', origin: BEGUN, span: SPAN })
  await fleet.clock.advance(1_000)
  t.like(await fleet.find(await fleet.start('b')), { type: 'known', origin: BEGUN })
})
