import { once } from 'node:events'
import { Worker } from 'node:worker_threads'

/** Calls to a TypeScript module that runs in a thread of its own and answers each call in order. */
export class ThreadCalls<Call> {
  private readonly worker: Worker
  private last: Promise<unknown> = Promise.resolve()

  /** `module` is the URL of the module, which finds `options` in its `workerData`. */
  constructor (module: URL, options: unknown) {
    this.worker = new Worker(new URL('./typescript-thread.mjs', import.meta.url), { workerData: { module: module.href, options } })
  }

  async call<T> (call: Call): Promise<T> {
    const answer = this.last.then(async () => {
      this.worker.postMessage(call)
      const [value] = await once(this.worker, 'message')
      return value as T
    })
    this.last = answer
    return await answer
  }

  /** Ends the thread and with it all its connections; resolves once it has ended. */
  async stop (): Promise<void> {
    await this.worker.terminate()
  }
}
