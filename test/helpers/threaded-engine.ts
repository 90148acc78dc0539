import type { EventEngine } from '../../stand-ins/machines/event-engine.js'
import type { EngineCall } from './engine-call.js'
import { ThreadCalls } from './thread-calls.js'

type Options = Omit<ConstructorParameters<typeof EventEngine>[0], 'now' | 'startedAt'> & { readonly port?: number }

/**
 * An engine in a thread of its own, which keeps its pace while the test's thread is busy. In that thread, where several fleets start at
 * once, an engine can stand still for so long that daemons rightly take it for a silent server.
 */
export class ThreadedEngine {
  port = 0
  /** Start of its process, Unix ms. */
  readonly startedAt = Date.now()
  private readonly calls: ThreadCalls<EngineCall>

  constructor (private readonly options: Options) {
    this.calls = new ThreadCalls(new URL('./run-engine-thread.ts', import.meta.url), { ...options, startedAt: this.startedAt })
  }

  get id (): string {
    return this.options.id
  }

  get version (): unknown {
    return this.options.version ?? 'v1'
  }

  async start (port = this.options.port ?? 0): Promise<void> {
    this.port = await this.calls.call({ type: 'start', port })
  }

  stop (): void {
    void this.end()
  }

  /** Ends the thread; resolves once nothing listens at its port. */
  async end (): Promise<void> {
    await this.calls.stop()
  }

  /** Sets the numbers of events after which the next runs break off, one number for each run. */
  async setBreakPoints (after: readonly number[]): Promise<void> {
    await this.calls.call({ type: 'break', after })
  }

  /** Lets all of its answers end with their connections. */
  async leaveUnmarked (): Promise<void> {
    await this.calls.call({ type: 'unmarked' })
  }

  /** Stands still for `time` ms; its connections stay open. */
  standStill (time: number): void {
    void this.calls.call({ type: 'stand still', time })
  }

  async readRuns (): Promise<EventEngine['runs']> {
    return await this.calls.call({ type: 'runs' })
  }
}
