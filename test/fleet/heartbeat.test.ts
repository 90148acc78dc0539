import test from 'ava'
import { decodeHeartbeat } from '../../src/fleet/decode-heartbeat.js'
import { encodeHeartbeat } from '../../src/fleet/encode-heartbeat.js'
import type { Heartbeat } from '../../src/fleet/heartbeat.js'
import { planHeartbeat } from '../../src/fleet/plan-heartbeat.js'
import { Session } from '../../src/peers/session.js'
import type { SessionEvent } from '../../src/peers/session-event.js'

/** Bandwidth for control messages of a daemon in a fleet of 380, bytes/s. */
const CONTROL_BANDWIDTH = 6_000
/** The 62 other daemons of its failure domain and 10 watchers of other domains. */
const RECIPIENTS = 72

const heartbeat: Heartbeat = { next: 500, kinds: new Map([['configuration', { published: 1_234_567, age: 3_999 }], ['instances', { published: 1_234_599, age: 12 }]]) }

function readSent (events: readonly SessionEvent[]): Buffer {
  return Buffer.concat(events.flatMap(event => event.type === 'send' ? [event.bytes] : []))
}

function createSession (): Session {
  const opener = new Session({ self: 'a', secret: 'k', nonce: Buffer.alloc(16, 1), to: 'b' })
  const acceptor = new Session({ self: 'b', secret: 'k', nonce: Buffer.alloc(16, 2) })
  opener.receive(readSent(acceptor.receive(opener.open()).unwrap()))
  return opener
}

test('a heartbeat is decoded as it was encoded', t => {
  t.deepEqual(decodeHeartbeat(encodeHeartbeat(heartbeat)), heartbeat)
  t.deepEqual(decodeHeartbeat({ type: 'heartbeat', n: 500, parts: [1, 2, 3] }).kinds, new Map([['configuration', { published: 1, age: 2 }]]))
})

// Guards against heartbeats that use up a watcher's bandwidth for control messages.
test('heartbeats to a large failure domain use less than half of the control bandwidth', t => {
  const session = createSession()
  session.seal({ t: 1_000 })
  const bytes = session.seal({ t: 2_500, ping: true, m: encodeHeartbeat(heartbeat) }).length
  const rate = bytes * RECIPIENTS * 1_000 / planHeartbeat(RECIPIENTS)
  t.log({ bytes, rate })
  t.true(rate < CONTROL_BANDWIDTH / 2)
})
