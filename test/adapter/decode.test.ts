import test from 'ava'
import { decodeConfiguration } from '../../platform/decode-configuration.js'
import { decodeInstance } from '../../platform/decode-instance.js'
import { decodeJobItems } from '../../platform/decode-job-items.js'

const registration = { service: 'helm', addr: '10.128.0.9:8080', zone: 'a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 4 }

test('the registration of a server', t => {
  t.deepEqual(decodeInstance('i-1', registration), { name: 'i-1', pool: 'helm', host: '10.128.0.9', port: 8080, failureDomain: 'a', region: '', state: 'live', version: 'v1', slots: 8 })
  t.is(decodeInstance('i-1', { ...registration, state: 'draining' })?.state, 'leaving')
  t.is(decodeInstance('i-1', { ...registration, slots: 'many' })?.slots, undefined)
  for (const version of [undefined, null, '', 1, {}, ['v1']]) t.is(decodeInstance('i-1', { ...registration, version })?.version, undefined)
})

// Objects of other writers may be among the servers' registrations; they must be skipped.
const unreadable: readonly unknown[] = [
  undefined, null, 7, 'text', [], {}, { ...registration, addr: undefined }, { ...registration, addr: 9 }, { ...registration, addr: 'host:80' }, { ...registration, addr: '10.0.0.1:99999' },
  { ...registration, state: 'resting' }, { ...registration, state: undefined }, { ...registration, service: { name: 'helm' } }
]

for (const value of unreadable) {
  test(`not a registration: ${JSON.stringify(value)}`, t => { t.is(decodeInstance('i-1', value), undefined) })
}

const route = { name: 'r', host: 'h', path_prefix: '/p/', kind: 'streaming', timeout_ms: 5_000, slo_ms: 300, priority: 0, service: 's', attempts: 2, resumable: true }
const configuration = { version: 7, routes: [route], services: [{ name: 's' }], limits: { max_body_bytes: 4_194_304 } }

interface Kind { readonly change: object, readonly idempotent: boolean, readonly streamed: boolean, readonly resumable: boolean, readonly jobs: boolean }

const kinds: readonly Kind[] = [
  { change: {}, streamed: true, idempotent: true, resumable: true, jobs: false },
  { change: { resumable: false }, streamed: true, idempotent: false, resumable: false, jobs: false },
  { change: { kind: 'safe' }, streamed: false, idempotent: true, resumable: false, jobs: false },
  { change: { kind: 'unsafe' }, streamed: false, idempotent: false, resumable: false, jobs: false },
  { change: { kind: 'batch', run_aim_ms: 18_000, max_wait_s: 60, cap: 500 }, streamed: false, idempotent: false, resumable: false, jobs: true }
]

for (const { change, jobs, ...expected } of kinds) {
  test(`a route with ${JSON.stringify(change)}`, t => {
    const decoded = decodeConfiguration({ ...configuration, routes: [{ ...route, ...change }] })!.routes!.r!
    t.like(decoded, { host: 'h', pathPrefix: '/p/', services: [{ service: 's', weight: 1 }], attempts: 2, timeout: 5_000, target: 300, ...expected })
    t.deepEqual(decoded.jobs, jobs ? { dueAfter: 18_000, giveUpAfter: 60_000, maxWaitingTokens: 500 } : undefined)
  })
}

test('a malformed configuration is undefined', t => {
  for (const value of [undefined, null, 5, {}, { ...configuration, version: 'new' }, { ...configuration, routes: undefined }]) t.is(decodeConfiguration(value), undefined)
})

const item = { id: 'i', path: '/p/1', headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 940 }

test('items of a job', t => {
  t.deepEqual(decodeJobItems(Buffer.from(JSON.stringify({ items: [item] }))), [item])
  for (const body of ['', 'no json', '{}', '{"items":[]}', JSON.stringify({ items: [{ ...item, id: 3 }] }), JSON.stringify({ items: Array(201).fill(item) })]) {
    t.is(decodeJobItems(Buffer.from(body)), undefined, body.slice(0, 40))
  }
})
