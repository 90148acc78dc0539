import 'reflect-metadata'
import { container as root } from 'tsyringe'
import { ConfigurationHolder } from '../../src/config/configuration-holder.js'
import { emptyConfiguration } from '../../src/config/empty-configuration.js'
import { Extensions } from '../../src/kernel/extensions.js'
import { Random } from '../../src/kernel/random.js'
import type { Clock } from '../../src/kernel/clock.js'
import { SystemClock } from '../../src/kernel/system-clock.js'
import { tokens } from '../../src/kernel/tokens.js'
import { serverDialect } from '../../platform/server-dialect.js'
import { InstanceList } from '../../src/store/instance-list.js'
import { Dispatcher } from '../../src/routing/dispatcher.js'
import type { ServerRequest } from '../../src/routing/exchanges/server-request.js'
import { Servers } from '../../src/routing/servers/servers.js'
import { Engine } from '../../stand-ins/engine/engine.js'
import { MemoryStore } from '../../stand-ins/platform/memory-store.js'

const POOL = 'pool'
const CLOCK = tokens.clock

interface BenchOptions {
  readonly ports: readonly number[]
  readonly resume?: boolean
  readonly maxInFlight?: number
  /** Start of the servers' processes as the list states it, Unix ms; not stated if omitted. */
  readonly startedAt?: number | undefined
  /** The daemon's clock; the system's if omitted. */
  readonly clock?: Clock | undefined
}

/** The request dispatch of one daemon, run in this process against servers on `ports`. */
export class DispatchBench {
  readonly container = root.createChildContainer()
  readonly dispatcher: Dispatcher
  private sequence = 0

  constructor ({ ports, resume = true, maxInFlight = 8, startedAt, clock = new SystemClock() }: BenchOptions) {
    const instances = ports.map((port, i) => ({ name: `server-${i}`, pool: POOL, host: '127.0.0.1', port, failureDomain: `domain-${i}`, region: 'region-1', state: 'live' as const, ...startedAt !== undefined && { startedAt } }))
    this.container.registerInstance(tokens.clock, clock)
    this.container.registerInstance(tokens.random, new Random(1))
    this.container.registerInstance(tokens.store, new MemoryStore())
    this.container.registerInstance(tokens.log, { write: () => {} })
    this.container.registerInstance(tokens.settings, { instance: 'entry-0', failureDomain: 'domain-0', region: 'region-1', listen: { host: '127.0.0.1', port: 0, peerPort: 0 }, platform: '', peerKey: '', operatorToken: '', log: { level: 'error', format: 'text' } })
    if (startedAt !== undefined) this.container.registerInstance(tokens.serverDialect, serverDialect)
    this.container.registerInstance(Extensions, new Extensions())
    this.container.resolve(InstanceList).all = instances
    this.container.resolve(ConfigurationHolder).offer({
      ...emptyConfiguration,
      version: 1,
      services: { assistant: { kind: 'model', pool: POOL, model: 'model', idempotent: true } },
      models: { model: { firstToken: 200, betweenTokens: 20, maxInFlight, resume } }
    })
    this.dispatcher = this.container.resolve(Dispatcher)
  }

  /** Starts `count` engines in this process and a bench that dispatches to them. */
  static async start (count: number, options: Partial<BenchOptions> = {}): Promise<{ readonly bench: DispatchBench, readonly urls: readonly string[], readonly stop: () => Promise<void> }> {
    const engines = Array.from({ length: count }, () => new Engine())
    const ports = await Promise.all(engines.map(async engine => await engine.listen(0)))
    const bench = new DispatchBench({ ports, ...options })
    const stop = async (): Promise<void> => {
      await bench.stop()
      for (const engine of engines) engine.close()
    }
    return { bench, urls: ports.map(port => `http://127.0.0.1:${port}`), stop }
  }

  async stop (): Promise<void> {
    await this.container.resolve(Servers).stop()
  }

  request (prompt: string, more: Partial<ServerRequest> & { readonly stream?: boolean, readonly tokens?: number } = {}): ServerRequest {
    const { stream = false, tokens = 8, ...rest } = more
    return {
      id: `request-${this.sequence++}`,
      caller: 'caller',
      service: 'assistant',
      pool: POOL,
      work: 'online',
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify({ model: 'assistant', stream, max_tokens: tokens, messages: [{ role: 'user', content: prompt }] })),
      idempotent: true,
      deadline: this.container.resolve(CLOCK).now() + 10_000,
      limit: 8,
      ...rest
    }
  }
}
