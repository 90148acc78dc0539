import test from 'ava'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { LinkWatch } from '../../src/peers/link-watch.js'
import { SendQueue } from '../../src/peers/send-queue.js'
import { createLinks } from '../helpers/create-links.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

test('a full queue drops the oldest message, and a newer message replaces one with its topic', t => {
  const queue = new SendQueue(2)
  t.is(queue.add({ type: 'x', n: 1 }, 'load'), 0)
  t.is(queue.add({ type: 'x', n: 2 }, 'load'), 1)
  t.is(queue.add({ type: 'y' }), 0)
  t.is(queue.add({ type: 'z' }), 1)
  t.deepEqual([queue.take()?.type, queue.take()?.type, queue.take()], ['y', 'z', undefined])
})

test('a link is silent only if nothing arrives after a ping', t => {
  const cases: readonly (readonly [string, (watch: LinkWatch) => number, string])[] = [
    ['nothing sent', () => 5_000, 'open'],
    ['answered', watch => { watch.onSend(2_000); watch.onReceive(2_100); return 9_000 }, 'open'],
    ['not answered', watch => { watch.onSend(2_000); return 3_500 }, 'silent'],
    ['later sends do not extend the time', watch => { watch.onSend(2_000); watch.onSend(3_400); return 3_500 }, 'silent'],
    ['unused', () => 60_000, 'idle']
  ]
  for (const [name, run, state] of cases) {
    const watch = new LinkWatch(0)
    t.is(watch.check(run(watch)), state as never, name)
  }
})

// A network device between two daemons loses the state of an open connection: writes succeed and nothing arrives, while new
// connections work. Without detection every later message would be lost.
test('a silent connection is closed and the next message goes over a new one', async t => {
  const clock = new VirtualClock()
  const b = await createLinks('b', clock)
  const sockets: Socket[] = []
  const relay = createServer(inbound => {
    const outbound = connect(b.links.port, '127.0.0.1')
    sockets.push(inbound, outbound)
    inbound.pipe(outbound).pipe(inbound)
    inbound.on('error', () => {})
    outbound.on('error', () => {})
  }).listen(0, '127.0.0.1')
  await once(relay, 'listening')
  const a = await createLinks('a', clock)
  t.teardown(async () => {
    await Promise.all([a.links.stop(), b.links.stop()])
    for (const socket of sockets) socket.destroy()
    relay.close()
  })
  a.addresses.update('b', { host: '127.0.0.1', port: (relay.address() as AddressInfo).port })
  a.links.send('b', { type: 'test', n: 1 })
  t.is((await b.next()).n, 1)
  for (const socket of sockets) socket.unpipe().pause()
  const openBefore = sockets.length
  await clock.advance(2_000)
  a.links.send('b', { type: 'test', n: 2 })
  await clock.advance(2_000)
  a.links.send('b', { type: 'test', n: 3 })
  t.is((await b.next()).n, 3)
  t.true(sockets.length > openBefore)
})

test('a message from a peer with another key is not delivered', async t => {
  const clock = new VirtualClock()
  const [a, b] = await Promise.all([createLinks('a', clock, 'other key'), createLinks('b', clock)])
  t.teardown(async () => { await Promise.all([a.links.stop(), b.links.stop()]) })
  a.addresses.update('b', { host: '127.0.0.1', port: b.links.port })
  a.links.send('b', { type: 'test' })
  await a.closed()
  t.is(b.received.length, 0)
})
