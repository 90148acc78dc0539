import type { RelayMode } from '../../harness/relay-mode.js'
import type { RelayCall } from './relay-call.js'
import { ThreadCalls } from './thread-calls.js'

/** A relayed port in a thread of its own, which forwards bytes while the test's thread is busy. */
export class ThreadedRelay {
  private readonly calls: ThreadCalls<RelayCall>

  constructor (options: { readonly host: string, readonly port: number }) {
    this.calls = new ThreadCalls(new URL('./run-relay-thread.ts', import.meta.url), options)
  }

  /** Resolves to the address at which the port is reached. */
  async start (): Promise<string> {
    return await this.calls.call({ type: 'start' })
  }

  /** Resolves once the mode is in force. */
  async setMode (mode: RelayMode): Promise<void> {
    await this.calls.call({ type: 'mode', mode })
  }

  close (): void {
    void this.calls.stop()
  }
}
