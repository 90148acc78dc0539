import { inject, Lifecycle, scoped } from 'tsyringe'
import { Agent } from 'undici'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { InstanceList } from '../platform/instance-list.js'
import type { BackendServer } from './backend-server.js'

/**
 * The backend servers, what this daemon has in flight on each, and its connections to them. Online and batch have
 * connections of their own, so that neither waits behind the other.
 */
@scoped(Lifecycle.ContainerScoped)
export class Servers implements Part {
  readonly agents = {
    online: new Agent({ connections: 256, keepAliveTimeout: 3_000, pipelining: 1 }),
    batch: new Agent({ connections: 64, keepAliveTimeout: 3_000, pipelining: 1 })
  }

  private readonly counts = new Map<string, number>()

  constructor (@inject(InstanceList) private readonly list: InstanceList) {}

  async stop (): Promise<void> {
    await Promise.all([this.agents.online.destroy(), this.agents.batch.destroy()])
  }

  inPool (pool: string): readonly BackendServer[] {
    return this.list.all.filter(instance => instance.pool === pool).map(({ name, host, port, failureDomain, state }) => ({
      name,
      pool,
      failureDomain,
      url: `http://${host}:${port}`,
      leaving: state === 'leaving',
      inFlight: this.counts.get(name) ?? 0
    }))
  }

  /** Counts a request in flight; the function it gives back ends it and is called once. */
  begin (server: string): () => void {
    this.counts.set(server, (this.counts.get(server) ?? 0) + 1)
    return () => { this.counts.set(server, this.counts.get(server)! - 1) }
  }
}

partRegistry.register({ name: 'servers', part: Servers, needs: ['instance list'] })
