import 'reflect-metadata'
import test from 'ava'
import type { ServerResponse } from 'node:http'
import { Ok } from 'ts-results'
import { ConfigurationHolder } from '../../src/config/configuration-holder.js'
import type { Route } from '../../src/config/route.js'
import type { JobItem } from '../../src/jobs/job-item.js'
import type { JobOwner } from '../../src/jobs/job-owner.js'
import type { JobReader } from '../../src/jobs/job-reader.js'
import { JobRecords } from '../../src/jobs/job-records.js'
import { JobRequestHandler } from '../../src/jobs/job-request-handler.js'
import type { JobRegistry } from '../../src/jobs/registry/job-registry.js'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import { entryDialect } from '../../platform/entry-dialect.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'
import { VirtualClock } from '../helpers/virtual-clock.js'
import { unlimitedMemory } from '../helpers/unlimited-memory.js'

const HEADER = { host: 'h', path: '/p/', submittedAt: 0, total: 1, tokens: 1, owner: 'd1', run: 1 }
const ITEM: JobItem = { id: 'i', path: '/p/1', headers: { 'X-Model': 'm' }, body: 'eA==', tokens: 1 }
const ROUTE = { host: 'h', pathPrefix: '/p/', services: [], jobs: { dueAfter: 1, giveUpAfter: 0, maxWaitingTokens: 0 } } as unknown as Route

/** Submits a job of one item to a daemon whose registry doesn't know it; returns the status and the items that were accepted. */
async function submit (item: JobItem, store = new MemoryStore()): Promise<{ readonly status: number, readonly accepted: readonly JobItem[] }> {
  const accepted: JobItem[] = []
  const statuses: number[] = []
  const owner = { accept: async (_id: string, _header: unknown, items: readonly JobItem[]) => { accepted.push(...items); return Ok(undefined) } } as unknown as JobOwner
  const handler = new JobRequestHandler(entryDialect, new VirtualClock(), new Random(1), { write: () => {} }, new Metrics(), new ConfigurationHolder(),
    { get: () => undefined, countWaitingTokens: () => 0 } as unknown as JobRegistry, owner, {} as unknown as JobReader, new JobRecords(store))
  const res = { writeHead: (status: number) => { statuses.push(status) }, end: () => {}, setHeader: () => {} } as unknown as ServerResponse
  await handler.submit({ id: 'j', route: ROUTE, path: '/p/j', caller: undefined, body: Buffer.from(JSON.stringify({ items: [item] })), arrived: 0, memory: unlimitedMemory }, res)
  return { status: statuses[0]!, accepted }
}

const unsendable: Readonly<Record<string, Partial<JobItem>>> = {
  'a header value beyond Latin-1': { headers: { 'X-Model': '模' } },
  'a line break in a header': { headers: { 'X-Model': 'm\r\nX-Other: 1' } },
  'a header name with a space': { headers: { 'X Model': 'm' } },
  'an empty header name': { headers: { '': 'm' } },
  'an id beyond Latin-1': { id: '模' },
  'a path without a slash': { path: 'p/1' },
  'a path with a space': { path: '/p/1 2' },
  'a path beyond Latin-1': { path: '/p/模' },
  'a body that the store would hold at six times its length': { body: '\u0001'.repeat(10) },
  'headers that no object of the store holds': { headers: Object.fromEntries(Array.from({ length: 400 }, (_, i) => [`x-${i}`, 'v'.repeat(1_000)])) }
}

for (const [name, change] of Object.entries(unsendable)) {
  // Guards against jobs that are accepted although one of their items can't be sent to any server.
  test(`a job of an item with ${name} is refused`, async t => {
    t.deepEqual(await submit({ ...ITEM, ...change }), { status: 400, accepted: [] })
  })
}

const sendable: Readonly<Record<string, Partial<JobItem>>> = {
  'headers that concern one connection': { headers: { Connection: 'keep-alive, te', TE: 'trailers', 'Keep-Alive': 'x', Upgrade: 'h2c', 'Transfer-Encoding': 'chunked', Expect: 'x', 'Content-Length': 'x' } },
  'header bytes of Latin-1 and tabs': { headers: { 'X-Model': 'modèle\tm ÿ' } },
  'empty and missing headers': { headers: { 'X-Model': '' } },
  'each character of a path': { path: '/p/é%20?a=[1]|{2}&b="c"#d' }
}

for (const [name, change] of Object.entries(sendable)) {
  // Guards against jobs that are refused although all their items can be sent.
  test(`a job of an item with ${name} is accepted as it came`, async t => {
    const item = { ...ITEM, ...change }
    t.deepEqual(await submit(item), { status: 202, accepted: [item] })
  })
}

// Guards against a job that was accepted by an earlier release and is turned away when it comes again.
test('a job that is stored is confirmed though one of its items can not be sent', async t => {
  const store = new MemoryStore()
  const item = { ...ITEM, headers: { 'X-Model': '模' } }
  await new JobRecords(store).create('j', HEADER, [item])
  t.is((await submit(item, store)).status, 202)
})

// Guards against a job with such an item that is accepted, or refused for good, while the store can't tell whether it was accepted before.
test('a job of an item that can not be sent is to come again while the store does not answer', async t => {
  const store = new MemoryStore()
  store.fault = () => ({ fail: { type: 'unavailable', reason: 'outage' } })
  t.deepEqual(await submit({ ...ITEM, headers: { 'X-Model': '模' } }, store), { status: 503, accepted: [] })
})
