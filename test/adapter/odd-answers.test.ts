import 'reflect-metadata'
import test from 'ava'
import { objectDialect } from '../../platform/object-dialect.js'
import { decodeConfiguration } from '../../platform/decode-configuration.js'
import { HttpObjectStore } from '../../src/store/http-object-store.js'
import { RawServer } from '../helpers/raw-server.js'

// Guards against answers of the store that throw in a daemon, which then ends.

const deep = '['.repeat(100_000) + ']'.repeat(100_000)
const bodies: Readonly<Record<string, string>> = {
  'no JSON': 'x',
  nothing: '',
  null: 'null',
  'a number': '1',
  'no list': '{}',
  'a list of another type': '{"items":{},"events":7,"current_rev":1}',
  'entries of other types': '{"items":[null,1,"x",[],{}],"events":[null,1,{},{"object":null}],"current_rev":1}',
  'deep nesting': `{"items":[${deep}],"events":[{"object":${deep}}],"current_rev":${deep}}`,
  'a revision of another type': '{"items":[],"events":[],"current_rev":"x"}',
  'a deep revision of an object': `{"metadata":{"name":"a","revision":${deep}},"spec":${deep}}`
}

for (const [name, body] of Object.entries(bodies)) {
  test(`an answer of the store with ${name} is an error or nothing, for each call`, async t => {
    const server = await RawServer.start((socket, text) => {
      if (!/^(GET|PUT|POST|DELETE) /.test(text)) return
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
    })
    const store = new HttpObjectStore(`http://127.0.0.1:${server.port}`, { dialect: objectDialect })
    t.teardown(async () => {
      await store.close()
      server.close()
    })
    for (const kind of ['instances', 'configuration', 'evacuations', 'jobs']) {
      await t.notThrowsAsync(async () => {
        await Promise.all([store.get(kind, 'a'), store.list(kind), store.watch(kind, -1, 0), store.watch(kind, 1, 1), store.put(kind, 'a', 1, 0), store.delete(kind, 'a', 1), store.listInstances()])
      })
    }
  })
}

for (const spec of [null, 1, 'x', [], { version: 1, routes: [null], services: [] }, { version: 1, routes: [], services: [null] }, { version: 1, routes: [], services: [], tenants: [7] }, { version: Infinity, routes: [], services: [] }]) {
  test(`the configuration ${JSON.stringify(spec)} is malformed`, t => { t.is(decodeConfiguration(spec), undefined) })
}
