import test from 'ava'
import { Ok } from 'ts-results'
import { readToEnd } from '../../src/routing/exchanges/read-to-end.js'

const PART = Buffer.alloc(1_000)

/** An exchange whose body has `count` parts, without end if omitted. */
function create (count = Infinity) {
  let reads = 0
  return { framing: 'chunks' as const, headers: {}, read: async () => Ok(reads++ < count ? PART : undefined), countReads: () => reads }
}

// Guards against answers of servers that take more memory than their callers have, or than the process has.
test('a body is read as long as there is memory for it', async t => {
  const exchange = create()
  let taken = 0
  const body = await readToEnd(exchange, { getTimeout: () => 1, grow: bytes => (taken += bytes) <= 5_000 })
  t.true(body.err)
  t.is(exchange.countReads(), 6)
  t.is((await readToEnd(create(5), { getTimeout: () => 1, grow: () => true })).unwrap().length, 5_000)
})

test('a body without end is read up to its limit', async t => {
  const exchange = create()
  t.true((await readToEnd(exchange, { getTimeout: () => 1, maxBytes: 10_000 })).err)
  t.is(exchange.countReads(), 11)
})
