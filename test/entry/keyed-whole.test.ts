import test, { type ExecutionContext } from 'ava'
import { request } from 'undici'
import { CallerClient } from '../../harness/caller-client.js'
import { Fleet } from '../../harness/fleet.js'
import { readFolder } from '../../src/config/read-folder.js'
import type { ServiceFaults } from '../../stand-ins/service/service-faults.js'

const PATH = '/services/bookings/slots'
const KEY = { 'idempotency-key': 'slot-3' }

async function startFleet (t: ExecutionContext, faults: ServiceFaults, deadline = 60_000) {
  const fleet = await Fleet.start()
  t.teardown(async () => await fleet.stop())
  const server = await fleet.addServer('booking-0', 'domain-a', { pool: 'booking-desk', kind: 'service' })
  await request(`http://127.0.0.1:${server.instance.port}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })
  for (const domain of ['domain-a', 'domain-b']) await fleet.addDaemon(`entry-${domain}`, domain)
  const configuration = readFolder('demo/folder').unwrap()
  await fleet.apply({ ...configuration, limits: { ...configuration.limits, deadline } })
  const [a, b] = fleet.daemons.map(daemon => new CallerClient(fleet.url(daemon), 'quay-desk-token'))
  const members = async (): Promise<number> => (await fleet.operator('GET', fleet.daemons[1]!, '/operator/status')).members.length
  const count = async (): Promise<number> => (await fleet.readLog(server)).length
  return { fleet, a: a!, b: b!, server, members, count }
}

// A caller that got no answer in time sends its booking again through another daemon while the first still runs.
// The second waits for the first one's outcome and gives the same answer.
test('the same key through two daemons at once runs once', async t => {
  const { a, b, count } = await startFleet(t, { delay: 300 })
  const answers = await Promise.all([a, b, a, b].map(async caller => await caller.call('POST', PATH, { slot: 3 }, KEY)))
  t.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200])
  t.is(new Set(answers.map(({ text }) => text)).size, 1)
  t.is(answers.filter(({ headers }) => headers['idempotency-replayed'] === 'true').length, 3)
  t.is((await a.call('POST', PATH, { slot: 4 }, KEY)).status, 422)
  t.is(await count(), 1)
})

// The daemon that holds the key is killed between its send and the answer. The server has run the booking, nobody
// has recorded that. The caller sends it again through the other daemon and must not book twice.
test('a daemon killed before its answer leaves the key unknown, and it isn\'t run again', async t => {
  const { fleet, a, b, members, count } = await startFleet(t, { silence: true })
  void a.call('POST', PATH, { slot: 3 }, KEY).catch(() => {})
  await fleet.waitUntil(async () => await count() === 1)
  fleet.daemons[0]!.child.signal('SIGKILL')
  await fleet.waitUntil(async () => await members() === 1)
  for (let i = 0; i < 2; i++) {
    const answer = await b.call('POST', PATH, { slot: 3 }, KEY)
    t.is(answer.status, 502)
    t.is(JSON.parse(answer.text).ran, 'unknown')
  }
  t.is(await count(), 1)
})

// The daemon is frozen with the booking under way and resumed after the others have given it up.
// It goes on where it stood; it must neither send again nor have let another one send.
test('a daemon paused with a key and resumed runs it once', async t => {
  const { fleet, a, b, members, count } = await startFleet(t, { delay: 500 })
  const first = a.call('POST', PATH, { slot: 3 }, KEY)
  await fleet.waitUntil(async () => await count() === 1)
  fleet.daemons[0]!.child.signal('SIGSTOP')
  await fleet.waitUntil(async () => await members() === 1)
  t.is((await b.call('POST', PATH, { slot: 3 }, KEY)).status, 502)
  fleet.daemons[0]!.child.signal('SIGCONT')
  t.is((await first).status, 200)
  t.is((await b.call('POST', PATH, { slot: 3 }, KEY)).headers['idempotency-replayed'], 'true')
  t.is(await count(), 1)
})

// The server takes the booking and cuts its answer, or falls silent: it ran, and nobody knows with what outcome.
for (const [name, faults] of [['a cut answer', { cut: true }], ['a silent server', { silence: true }]] as const) {
  test(`${name} leaves the key unknown after one run`, async t => {
    const { a, b, count } = await startFleet(t, faults, 1_500)
    for (const caller of [a, b]) t.is((await caller.call('POST', PATH, { slot: 3 }, KEY)).status, 502)
    const plain = await a.call('POST', PATH, { slot: 4 })
    t.true(plain.status >= 500)
    t.is(await count(), 2)
  })
}

// The platform is down, so that no claim can be kept: the booking is refused before anything is sent.
test('a keyed request in a platform outage is refused as not run', async t => {
  const { fleet, a, count } = await startFleet(t, {})
  await fleet.setPlatformFaults({ outage: 'refused' })
  const answer = await a.call('POST', PATH, { slot: 3 }, KEY)
  t.is(answer.status, 503)
  t.is(JSON.parse(answer.text).ran, 'not run')
  t.truthy(answer.headers['retry-after'])
  t.is(await count(), 0)
  await fleet.setPlatformFaults({})
  // Until a probe has found the platform back, calls are still refused as not run.
  await fleet.waitUntil(async () => {
    const { status, text } = await a.call('POST', PATH, { slot: 3 }, KEY)
    if (status !== 200) t.is(JSON.parse(text).ran, 'not run')
    return status === 200
  })
  t.is(await count(), 1)
})

// Replies to half of all writes are lost after they took effect: claims and records must be settled by their ids.
test('lost replies of the platform: each key still runs once and replays', async t => {
  const { fleet, a, b, count } = await startFleet(t, {})
  await fleet.setPlatformFaults({ lostReplies: 0.5, seed: 4 })
  const keys = Array.from({ length: 12 }, (_, i) => ({ 'idempotency-key': `lost-${i}` }))
  const first = await Promise.all(keys.map(async key => await a.call('POST', PATH, key, key)))
  t.deepEqual(first.map(({ status }) => status), keys.map(() => 200))
  const again = await Promise.all(keys.map(async key => await b.call('POST', PATH, key, key)))
  t.deepEqual(again.map(({ text }) => text), first.map(({ text }) => text))
  t.is(await count(), keys.length)
})
