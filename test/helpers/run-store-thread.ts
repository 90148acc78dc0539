import { parentPort } from 'node:worker_threads'
import { ObjectApi } from '../../stand-ins/machines/object-api.js'
import { blockThread } from './block-thread.js'
import type { StoreCall } from './store-call.js'

/** Entry point of the thread of a `ThreadedStore`: runs a store and answers each call. */
const store = new ObjectApi()

parentPort!.on('message', (call: StoreCall) => {
  void run(call).then(answer => parentPort!.postMessage(answer))
})

async function run (call: StoreCall): Promise<unknown> {
  switch (call.type) {
    case 'start':
      await store.start()
      return store.port
    case 'put': return store.put(call.kind, call.name, call.spec)
    case 'remove': return store.remove(call.kind, call.name)
    case 'stand still': return blockThread(call.time)
    case 'faults':
      store.faults = call.faults
      return undefined
  }
}
