import test from 'ava'
import { readFraming } from '../../src/http/read-framing.js'

// Guards against a log that names the wrong framing for an answer that was broken off.
const cases: ReadonlyArray<readonly [number, Record<string, string>, ReturnType<typeof readFraming>]> = [
  [200, { 'content-length': '0' }, 'length'],
  [200, { 'transfer-encoding': 'chunked' }, 'chunks'],
  [200, { 'transfer-encoding': 'gzip, Chunked' }, 'chunks'],
  [200, { 'transfer-encoding': 'gzip' }, 'connection'],
  [200, { 'transfer-encoding': 'chunked', 'content-length': '5' }, 'chunks'],
  [200, { connection: 'close' }, 'connection'],
  [200, {}, 'connection'],
  [204, {}, 'none'],
  [304, {}, 'none']
]

for (const [status, headers, framing] of cases) {
  test(`${status} with ${JSON.stringify(headers)}: ${framing}`, t => { t.is(readFraming({ method: 'POST', status, headers }), framing) })
}

test('an answer to HEAD has no body, whatever length it names', t => { t.is(readFraming({ method: 'HEAD', status: 200, headers: { 'content-length': '5' } }), 'none') })
