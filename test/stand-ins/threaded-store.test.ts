import test from 'ava'
import { request } from 'undici'
import { ThreadedStore } from '../helpers/threaded-store.js'

// Guards against a test that goes on before what it asked of the store is in force.
test('writes and faults of a store in a thread of its own take effect in order, before the call that waits for them ends', async t => {
  const store = new ThreadedStore()
  try {
    await store.start()
    const read = async (): Promise<number> => {
      const answer = await request(`http://127.0.0.1:${store.port}/api/objects/servers/i-1`)
      await answer.body.dump()
      return answer.statusCode
    }
    store.put('servers', 'i-1', {})
    await store.setFaults({})
    t.is(await read(), 200)
    await store.setFaults({ down: 'busy' })
    t.is(await read(), 503)
    store.remove('servers', 'i-1')
    await store.setFaults({})
    t.is(await read(), 404)
  } finally {
    store.stop()
  }
})
