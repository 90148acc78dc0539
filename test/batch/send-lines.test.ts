import test, { type ExecutionContext } from 'ava'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import { sendLines } from '../../src/batch/send-lines.js'

async function * readUntil (parts: readonly string[], fails: boolean): AsyncGenerator<string> {
  yield * parts
  if (fails) throw new Error('the platform did not answer')
}

async function ask (t: ExecutionContext, parts: readonly string[], fails: boolean): Promise<{ readonly status: number, readonly retryAfter: unknown, readonly text: string | undefined }> {
  const server = createServer((_req, res) => { void sendLines(res, readUntil(parts, fails)) }).listen(0, '127.0.0.1')
  t.teardown(() => server.close())
  await once(server, 'listening')
  const { statusCode, headers, body } = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`, { reset: true })
  return { status: statusCode, retryAfter: headers['retry-after'], text: await body.text().catch(() => undefined) }
}

// The connection is destroyed if the platform stops answering after the first line, and the request is refused with a
// retry time if it doesn't answer at all.
test('lines are sent completely, cut off by an error, or refused', async t => {
  t.deepEqual(await ask(t, ['a\n', '', 'b\n'], false), { status: 200, retryAfter: undefined, text: 'a\nb\n' })
  t.deepEqual(await ask(t, [], false), { status: 200, retryAfter: undefined, text: '' })
  t.is((await ask(t, ['a\n'], true)).text, undefined)
  const refused = await ask(t, [], true)
  t.is(refused.status, 503)
  t.truthy(refused.retryAfter)
})
