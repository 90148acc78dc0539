import type { callDaemon } from './call-daemon.js'
import { ThreadCalls } from './thread-calls.js'

/** A caller in a thread of its own, which measures the time to an answer while the test's thread is busy. */
export class ThreadedCaller {
  private readonly calls = new ThreadCalls<{ readonly port: number, readonly path: string, readonly options: Parameters<typeof callDaemon>[2] }>(new URL('./run-caller-thread.ts', import.meta.url), {})

  /** Resolves to the status of the answer, and the time to its end in ms. */
  async ask (port: number, path: string, options: Parameters<typeof callDaemon>[2]): Promise<{ readonly status: number, readonly time: number }> {
    return await this.calls.call({ port, path, options })
  }

  close (): void {
    void this.calls.stop()
  }
}
