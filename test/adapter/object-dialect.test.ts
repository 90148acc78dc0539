import test from 'ava'
import { objectDialect } from '../../platform/object-dialect.js'
import type { ApiAnswer } from '../../src/store/api-answer.js'
import type { ApiCall } from '../../src/store/api-call.js'
import type { HttpCall } from '../../src/store/http-call.js'

/** Sends a call against given answers; returns its HTTP exchanges and its answer. */
async function send (call: ApiCall, answers: ReadonlyArray<readonly [number, unknown]>): Promise<{ readonly calls: readonly HttpCall[], readonly answer: ApiAnswer }> {
  const calls: HttpCall[] = []
  const answer = await objectDialect.send(call, async httpCall => {
    const [status, body] = answers[calls.length]!
    calls.push(httpCall)
    return { type: 'answered', status, body }
  })
  return { calls, answer }
}

const object = (name: string, revision: number, spec: unknown): unknown => ({ metadata: { name, revision, created: 1, finalizers: [], deleting: false }, spec, status: null })

test('one of the product\'s objects is created once, and replaced at its revision', async t => {
  const put = { type: 'put', kind: 'jobs', name: 'j', value: { a: 1 }, writeId: 'w' } as const
  const created = await send({ ...put, version: 0 }, [[201, object('j', 9, { value: { a: 1 }, writeId: 'w' })]])
  t.like(created.calls[0], { method: 'POST', path: '/api/objects/jobs', body: { metadata: { name: 'j' }, spec: { value: { a: 1 }, writeId: 'w' } } })
  t.like(created.answer, { status: 201, body: { version: 9, value: { a: 1 }, writeId: 'w' } })
  const replaced = await send({ ...put, version: 9 }, [[409, object('j', 12, {})]])
  t.like(replaced.calls[0], { method: 'PUT', path: '/api/objects/jobs/j', body: { metadata: { revision: 9 } } })
  t.deepEqual(replaced.answer, { type: 'answered', status: 409, body: { version: 12 } })
})

test('a first watch reads all pages; a later one returns each changed object once', async t => {
  const first = await send({ type: 'watch', kind: 'evacuations', revision: -1, wait: 100 }, [
    [200, { items: [object('a', 3, { duration_s: 9 })], more_pages: true, current_rev: 8 }],
    [200, { items: [object('b', 7, {})], more_pages: false, current_rev: 9 }]
  ])
  t.deepEqual(first.calls.map(({ path }) => path), ['/api/objects/retirements', '/api/objects/retirements?after=a'])
  t.like((first.answer as { body: object }).body, { revision: 8, whole: true, changed: [{ name: 'a', value: { duration: 9_000 } }, { name: 'b' }] })
  const later = await send({ type: 'watch', kind: 'evacuations', revision: 8, wait: 100.4 }, [
    [200, { events: [{ tombstone: false, object: object('a', 10, {}) }, { tombstone: true, object: object('a', 11, {}) }, { tombstone: false, object: object('c', 12, {}) }], current_rev: 12 }]
  ])
  t.is(later.calls[0]!.path, '/api/objects/retirements?watch=8&wait_ms=100')
  t.like((later.answer as { body: object }).body, { revision: 12, deleted: ['a'], changed: [{ name: 'c', version: 12 }] })
})

// The store compacts its history while a daemon's watch is interrupted: only a full list shows what changed meanwhile.
test('a watch from a compacted revision falls back to a list', async t => {
  const { calls, answer } = await send({ type: 'watch', kind: 'evacuations', revision: 8, wait: 100 }, [[410, {}], [200, { items: [], more_pages: false, current_rev: 40 }]])
  t.is(calls.length, 2)
  t.like((answer as { body: object }).body, { revision: 40, whole: true, changed: [] })
})

test('the configuration is read under the store\'s name of it', async t => {
  const { calls } = await send({ type: 'get', kind: 'configuration', name: 'manifest' }, [[404, {}]])
  t.is(calls[0]!.path, '/api/objects/config/main')
})

test('the state of an evacuation is written as the store\'s status', async t => {
  const { calls } = await send({ type: 'put status', kind: 'evacuations', name: 'n', status: { state: 'done' } }, [[200, {}]])
  t.like(calls[0], { method: 'PUT', path: '/api/objects/retirements/n/status', body: { status: { state: 'completed' } } })
})
