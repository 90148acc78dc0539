import 'reflect-metadata'
import test from 'ava'
import { Ok, type Result } from 'ts-results'
import { objectDialect } from '../../platform/object-dialect.js'
import { readAll } from '../../src/admission/account/read-all.js'
import { JobRecords } from '../../src/jobs/job-records.js'
import { RefusedPartsStore } from '../../src/routing/blame/refused-parts-store.js'
import { OriginStore } from '../../src/routing/origins/origin-store.js'
import { HttpObjectStore } from '../../src/store/http-object-store.js'
import { listPages } from '../../src/store/list-pages.js'
import { listUpTo } from '../../src/store/list-up-to.js'
import { PlatformClient } from '../../src/store/platform-client.js'
import type { ObjectStore } from '../../src/store/object-store.js'
import { Platform } from '../../stand-ins/platform/platform.js'
import { ObjectApi } from '../../stand-ins/machines/object-api.js'

// Guards against a list that ends before the store says so, so that what stands behind a short page is lost.

const COUNT = 60
/** Two objects of this size fill a page of the store, bytes. */
const LARGE = 500_000

interface Reader { readonly name: string, readonly kind: string, readonly create: (n: number, size: number) => unknown, readonly count: (store: ObjectStore) => Promise<Result<number, unknown>> }

async function countPages (store: ObjectStore, prefix: string): Promise<Result<number, unknown>> {
  let count = 0
  for await (const page of listPages(store, 'any', { prefix })) {
    if (page.err) return page
    count += page.val.length
  }
  return Ok(count)
}

const readers: readonly Reader[] = [
  { name: 'all of a kind', kind: 'any', create: (_, size) => 'x'.repeat(size), count: async store => await countPages(store, '') },
  { name: 'those with a prefix that all have', kind: 'any', create: (_, size) => 'x'.repeat(size), count: async store => await countPages(store, 'n-') },
  { name: 'the first ones', kind: 'any', create: (_, size) => 'x'.repeat(size), count: async store => (await listUpTo(store, 'any', { prefix: '', limit: COUNT })).map(({ length }) => length) },
  { name: 'the account', kind: 'any', create: (_, size) => 'x'.repeat(size), count: async store => (await readAll(store, 'any')).map(({ length }) => length) },
  { name: 'headers of jobs', kind: 'jobs', create: (_, size) => ({ path: 'x'.repeat(size) }), count: async store => (await new JobRecords(store).listHeaders()).map(({ size }) => size) },
  { name: 'origins of streams', kind: 'stream-origins', create: (n, size) => ({ groups: [{ pool: 'p', version: 'v', ids: [`s${n}`, 'x'.repeat(size)] }] }), count: async store => (await new OriginStore(store, 'a').list()).map(({ records }) => records.size - 1) },
  { name: 'refused parts', kind: 'refused-parts', create: (n, size) => ({ part: `${n}${'x'.repeat(size)}`, losses: [] }), count: async store => (await new RefusedPartsStore(store).list()).map(({ length }) => length) }
]
const shapes = [
  { shape: 'pages of seven objects', pageLength: 7, size: 10 },
  { shape: 'pages that are cut by their size', pageLength: 500, size: LARGE },
  { shape: 'one whole page', pageLength: 500, size: 10 }
]

async function open (t: { teardown: (end: () => Promise<void>) => void }): Promise<{ readonly api: ObjectApi, readonly store: HttpObjectStore }> {
  const api = new ObjectApi()
  await api.start()
  const store = new HttpObjectStore(`http://127.0.0.1:${api.port}`, { dialect: objectDialect })
  t.teardown(async () => {
    await store.close()
    api.stop()
  })
  return { api, store }
}

for (const { shape, pageLength, size } of shapes) {
  for (const { name, kind, create, count } of readers) {
    test(`a list of ${name} is whole in ${shape}`, async t => {
      const { api, store } = await open(t)
      api.faults.pageLength = pageLength
      const total = size === LARGE ? 5 : COUNT
      for (let n = 0; n < total; n++) api.put(kind, `n-${String(n).padStart(2, '0')}`, { value: create(n, size) })
      t.is((await count(store)).unwrap(), total)
    })
  }
}

test('a list of those with a prefix goes on behind pages that have none', async t => {
  const { api, store } = await open(t)
  api.faults.pageLength = 7
  for (let n = 0; n < COUNT; n++) api.put('any', `n-${String(n).padStart(2, '0')}`, { value: n })
  t.is((await countPages(store, 'n-4')).unwrap(), 10)
  t.is((await listUpTo(store, 'any', { prefix: 'n-59', limit: 1 })).unwrap().length, 1)
})

test('a page without objects that isn\'t the last is an error', async t => {
  const { api, store } = await open(t)
  api.faults = { pageLength: 7, hasEmptyPage: true }
  for (let n = 0; n < COUNT; n++) api.put('jobs', `n-${n}`, { value: {} })
  t.true((await new JobRecords(store).listHeaders()).err)
  t.true((await store.watch('jobs', -1, 0)).err)
})

test('a list from a store that doesn\'t say where it ends is read until an empty page', async t => {
  const calls: string[] = []
  const names = Array.from({ length: 25 }, (_, i) => `n-${String(i).padStart(2, '0')}`)
  const transport = {
    send: async (call: { readonly after?: string }) => {
      calls.push(call.after!)
      return { type: 'answered', status: 200, body: { objects: names.filter(name => name > call.after!).slice(0, 3).map(name => ({ kind: 'k', name, version: 1, value: 1 })) } }
    }
  }
  const store = new PlatformClient(transport as never)
  let count = 0
  for await (const page of listPages(store, 'k')) count += page.unwrap().length
  t.is(count, names.length)
  t.is(calls.length, 10)
})

test('the stand-in of the platform says where a list ends', async t => {
  const platform = new Platform()
  const store = new HttpObjectStore(`http://127.0.0.1:${await platform.listen(0)}`)
  t.teardown(async () => {
    await store.close()
    platform.close()
  })
  for (let n = 0; n < 5; n++) await store.put('k', `n-${n}`, n, 0)
  t.deepEqual((await store.list('k', { limit: 3 })).map(({ objects, next }) => [objects.length, next]).unwrap(), [3, 'n-2'])
  t.deepEqual((await store.list('k', { after: 'n-2', limit: 3 })).map(({ objects, next }) => [objects.length, next]).unwrap(), [2, undefined])
})
