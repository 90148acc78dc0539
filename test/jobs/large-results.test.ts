import 'reflect-metadata'
import test from 'ava'
import { Encoder } from 'cbor-x'
import type { ItemProgress } from '../../src/jobs/item-progress.js'
import type { ListedResult } from '../../src/jobs/listed-result.js'
import { splitProgress } from '../../src/jobs/split-progress.js'
import { JobFleet } from '../helpers/job-fleet.js'

const { items: ITEMS, names: NAMES } = JobFleet
const FIRST = NAMES[0]!
/** The largest message between daemons, and the largest value of the store, bytes. */
const MESSAGE_BYTES = 1_000_000
const VALUE_BYTES = 1_000_000
const LARGE = 3_000_000

const encoder = new Encoder()

/** Starts daemons of which the first owns a job; `overlong` lists the types of messages that would end their connection. */
async function createFleet (): Promise<{ readonly fleet: JobFleet, readonly overlong: string[] }> {
  const fleet = new JobFleet()
  const overlong: string[] = []
  fleet.loses = (_from, _to, message) => {
    const isOverlong = encoder.encode(message).length > MESSAGE_BYTES
    if (isOverlong) overlong.push(message.type)
    return isOverlong
  }
  fleet.findText = (item, name) => item === 'a' ? name.repeat(LARGE / name.length) : `by ${name}`
  await fleet.start()
  await fleet.daemons.get(FIRST)!.owner.accept('j', { host: 'h', path: '/jobs/' }, ITEMS)
  await fleet.time.advance(1_000)
  return { fleet, overlong }
}

/** Reads all results at a daemon, page by page. */
async function readAll (fleet: JobFleet, name: string): Promise<readonly ListedResult[] | string> {
  const results: ListedResult[] = []
  for (;;) {
    let read: readonly ListedResult[] | string = 'pending'
    void fleet.daemons.get(name)!.reader.readResults('j', results.length, 0).then(page => { read = page.ok ? page.val.results : page.val })
    await fleet.time.advance(1_500)
    if (typeof read === 'string') return read
    if ((read as readonly ListedResult[]).length === 0) return results
    results.push(...read as readonly ListedResult[])
  }
}

// Guards against a large result that is listed at its owner only, and ends the connection to each daemon that asks for it.
test('a result that no message holds is read whole at each daemon', async t => {
  const { fleet, overlong } = await createFleet()
  fleet.daemons.get(FIRST)!.finish('a')
  fleet.daemons.get(FIRST)!.finish('b')
  await fleet.time.advance(6_000)
  for (const name of NAMES) {
    const results = await readAll(fleet, name)
    t.true(Array.isArray(results), String(results).slice(0, 20))
    t.deepEqual((results as readonly ListedResult[]).map(({ id, text }) => [id, text.length]), [['b', 5], ['a', LARGE]], name)
  }
  t.deepEqual(overlong, [])
  const sizes = await Promise.all(Array.from({ length: 3 }, async (_, i) => JSON.stringify((await fleet.store.get('job-results', `j.${i}`)).unwrap().value).length))
  t.true(Math.max(...sizes) <= VALUE_BYTES)
})

for (const after of [300, 700, 1_100, 1_700, 2_300, 3_000]) {
  // Guards against a text that is joined from the pieces of two owners, and against a job that counts as done with some of its pieces.
  test(`an owner that ends ${after} ms after an item leaves no part of a large result`, async t => {
    const { fleet } = await createFleet()
    fleet.daemons.get(FIRST)!.finish('a')
    await fleet.time.advance(after)
    fleet.kill(FIRST)
    await fleet.time.advance(8_000)
    const owner = [...fleet.daemons.values()].find(({ owner, name }) => name !== FIRST && owner.find('j') !== undefined)!
    for (const { id } of ITEMS) owner.finish(id)
    await fleet.time.advance(8_000)
    const results = await readAll(fleet, owner.name) as readonly ListedResult[]
    t.deepEqual(results.map(({ id }) => id).sort(), ITEMS.map(({ id }) => id))
    const { text } = results.find(({ id }) => id === 'a')!
    t.true([FIRST, owner.name].some(name => text === fleet.findText('a', name)))
    for (const name of NAMES.slice(1)) t.deepEqual(await readAll(fleet, name), results, name)
  })
}

// Guards against a message or an object with progress that is too large because its size was taken for that of its characters.
test('progress of items is split by bytes, and more than a part holds is left out', t => {
  const build = (id: string, text: string): ItemProgress => ({ id, last: 1, texts: [text], failures: 0 })
  const parts = splitProgress([build('a', '語'.repeat(160_000)), build('b', '語'.repeat(160_000)), build('large', 'x'.repeat(LARGE)), build('c', 'x')])
  t.deepEqual(parts.map(part => part.map(({ id }) => id)), [['a'], ['b', 'c']])
  for (const part of parts) t.true(encoder.encode(part).length < MESSAGE_BYTES)
})
