import type { Flood } from './flood.js'
import type { FloodCall } from './flood-call.js'
import { ThreadCalls } from './thread-calls.js'

/** A server in a thread of its own that answers without end, as fast as its connections take the bytes. */
export class ThreadedFlood {
  port = 0
  /** Start of its process, Unix ms. */
  readonly startedAt = Date.now()
  readonly version = 'v1'
  private readonly calls: ThreadCalls<FloodCall>

  constructor (readonly id: string, flood: Flood) {
    this.calls = new ThreadCalls(new URL('./run-flood-thread.ts', import.meta.url), { flood, startedAt: this.startedAt })
  }

  async start (): Promise<void> {
    this.port = await this.calls.call('start')
  }

  /** Lists how long each flood lasted until its connection ended, or has lasted so far, ms. */
  async listTimes (): Promise<readonly number[]> {
    return await this.calls.call('list times')
  }

  async countOpen (): Promise<number> {
    return await this.calls.call('count open')
  }

  stop (): void {
    void this.calls.stop()
  }
}
