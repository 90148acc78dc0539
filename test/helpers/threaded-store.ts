import type { StoreCall } from './store-call.js'
import { ThreadCalls } from './thread-calls.js'

/**
 * A store in a thread of its own, which answers while the test's thread is busy. In that thread it can stand still for so long that daemons
 * rightly say that they can't tell.
 */
export class ThreadedStore {
  port = 0
  private readonly calls = new ThreadCalls<StoreCall>(new URL('./run-store-thread.ts', import.meta.url), {})

  async start (): Promise<void> {
    this.port = await this.calls.call({ type: 'start' })
  }

  stop (): void {
    void this.calls.stop()
  }

  /** Writes an object unconditionally, as another system does, before any later call takes effect. */
  put (kind: string, name: string, spec: unknown): void {
    void this.calls.call({ type: 'put', kind, name, spec })
  }

  remove (kind: string, name: string): void {
    void this.calls.call({ type: 'remove', kind, name })
  }

  /** Stands still for `time` ms; its connections stay open. */
  standStill (time: number): void {
    void this.calls.call({ type: 'stand still', time })
  }

  /** Resolves once the faults are in force. */
  async setFaults (faults: Extract<StoreCall, { type: 'faults' }>['faults']): Promise<void> {
    await this.calls.call({ type: 'faults', faults })
  }
}
