import type { EventEngine } from '../../stand-ins/machines/event-engine.js'
import type { EngineCall } from './engine-call.js'
import { ThreadCalls } from './thread-calls.js'

type Options = Omit<ConstructorParameters<typeof EventEngine>[0], 'now'>

/**
 * An engine in a thread of its own, which keeps its pace while the test's thread is busy. In that thread, where several fleets start at
 * once, an engine can stand still for so long that daemons rightly take it for a silent server.
 */
export class ThreadedEngine {
  port = 0
  /** Start of the engine as its report states it, Unix ms. */
  startedAt = 0
  private readonly calls: ThreadCalls<EngineCall>

  constructor (private readonly options: Options) {
    this.calls = new ThreadCalls(new URL('./run-engine-thread.ts', import.meta.url), options)
  }

  get id (): string {
    return this.options.id
  }

  get version (): unknown {
    return this.options.version ?? 'v1'
  }

  async start (port = 0): Promise<void> {
    const { port: opened, startedAt } = await this.calls.call<{ readonly port: number, readonly startedAt: number }>({ type: 'start', port })
    this.port = opened
    this.startedAt = startedAt
  }

  stop (): void {
    this.calls.stop()
  }

  /** Sets the numbers of events after which the next runs break off, one number for each run. */
  async setBreakPoints (after: readonly number[]): Promise<void> {
    await this.calls.call({ type: 'break', after })
  }

  async readRuns (): Promise<EventEngine['runs']> {
    return await this.calls.call({ type: 'runs' })
  }
}
