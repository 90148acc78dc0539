import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { EventEngine } from '../../stand-ins/machines/event-engine.js'
import type { EngineCall } from './engine-call.js'

type Options = Omit<ConstructorParameters<typeof EventEngine>[0], 'now'>

/**
 * An engine in a thread of its own, which keeps its pace while the test's thread is busy. In that thread, where several fleets start at
 * once, an engine can stand still for so long that daemons rightly take it for a silent server.
 */
export class ThreadedEngine {
  port = 0
  /** Start of its process, Unix ms. */
  readonly startedAt = Date.now()
  private readonly worker: Worker
  /** The last call; calls are answered in order. */
  private last: Promise<unknown> = Promise.resolve()

  constructor (private readonly options: Options) {
    this.worker = new Worker(new URL('./engine-thread.mjs', import.meta.url), { workerData: options })
  }

  get id (): string {
    return this.options.id
  }

  get version (): unknown {
    return this.options.version ?? 'v1'
  }

  async start (port = 0): Promise<void> {
    this.port = await this.call({ type: 'start', port })
  }

  /** Ends the thread and with it all connections. */
  stop (): void {
    void this.worker.terminate()
  }

  /** Sets the numbers of events after which the next runs break off, one number for each run. */
  async setBreakPoints (after: readonly number[]): Promise<void> {
    await this.call({ type: 'break', after })
  }

  async readRuns (): Promise<EventEngine['runs']> {
    return await this.call({ type: 'runs' })
  }

  private async call<T> (call: EngineCall): Promise<T> {
    const answer = this.last.then(async () => {
      this.worker.postMessage(call)
      const [value] = await once(this.worker, 'message')
      return value as T
    })
    this.last = answer
    return await answer
  }
}
