import { parentPort, workerData } from 'node:worker_threads'
import { EventEngine } from '../../stand-ins/machines/event-engine.js'
import { blockThread } from './block-thread.js'
import type { EngineCall } from './engine-call.js'

/** Entry point of the thread of a `ThreadedEngine`: runs an engine and answers each call. */
const engine = new EventEngine(workerData.options)

parentPort!.on('message', (call: EngineCall) => {
  void run(call).then(answer => parentPort!.postMessage(answer))
})

async function run (call: EngineCall): Promise<unknown> {
  switch (call.type) {
    case 'start':
      await engine.start(call.port)
      return engine.port
    case 'break':
      engine.breakPoints = [...call.after]
      return undefined
    case 'unmarked':
      engine.unmarkedRuns = Infinity
      return undefined
    case 'stand still': return blockThread(call.time)
    case 'runs': return engine.runs
  }
}
