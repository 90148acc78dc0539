import { inject, Lifecycle, scoped } from 'tsyringe'
import { request } from 'undici'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { createAgent } from '../http/create-agent.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import type { Instance } from '../store/instance.js'
import { InstanceList } from '../store/instance-list.js'
import type { HealthState } from './health-state.js'
import { readBatchPolicy } from './batch/read-batch-policy.js'
import { ServerOwners } from './server-owners.js'
import { stepHealth } from './step-health.js'

const POLL_PERIOD = 500 // ms
const POLL_TIMEOUT = 400 // ms
/** How late a check may time out and still count as failed, ms; beyond that, this daemon itself was delayed. */
const LATE_MARGIN = 200
/** Keeps connections open over several polls, ms; an unresponsive connection is closed by the poll that times out on it. */
const KEEP_ALIVE = 4 * POLL_PERIOD
const HEALTHY: HealthState = { state: 'open', failures: 0 }

/** Result of the last poll of one server. */
interface PollResult { readonly health: HealthState, readonly sequences: number }

/**
 * Polls the health of the servers that this daemon owns, and their load if the policy uses it. Only owned servers are
 * polled, so that the number of polls doesn't grow with the number of daemons.
 */
@scoped(Lifecycle.ContainerScoped)
export class ServerWatch implements Part {
  private readonly agent = createAgent({ connections: 1, keepAliveTimeout: KEEP_ALIVE, keepAliveMaxTimeout: KEEP_ALIVE })
  private readonly results = new Map<string, PollResult>()
  private readonly listeners = new Set<(server: string) => void>()
  /** Only the `load reports` policy uses the server's load. */
  private readonly pollsLoad: boolean
  private cancel = (): void => {}

  constructor (
    @inject(ServerOwners) private readonly owners: ServerOwners,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.settings) settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.pollsLoad = readBatchPolicy(settings).type === 'load reports'
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(POLL_PERIOD, () => this.pollAll())
  }

  async stop (): Promise<void> {
    this.cancel()
    await this.agent.destroy()
  }

  /** Returns `leaving` by the instance list or the placement, `down` by health checks, and otherwise `open`. */
  getState (server: string): 'open' | 'leaving' | 'down' {
    const instance = this.list.all.find(({ name }) => name === server)
    if (instance === undefined || instance.state === 'leaving') return 'leaving'
    if (this.configuration.value.placement?.[instance.pool]?.leaving?.includes(server) === true) return 'leaving'
    return this.results.get(server)?.health.state ?? 'open'
  }

  /** Returns the sequences running and waiting at the server by its last load report; 0 if its load isn't polled. */
  getReportedSequences (server: string): number {
    return this.results.get(server)?.sequences ?? 0
  }

  /** Marks the server as down until a check passes. */
  markDown (server: string): void {
    const { sequences } = this.results.get(server) ?? { sequences: 0 }
    if (this.results.get(server)?.health.state !== 'down') this.timeline.record({ part: 'ownership', what: 'server down', server, detail: 'unreachable' })
    this.results.set(server, { health: { state: 'down', failures: 0 }, sequences })
  }

  /** Calls `listener` after each poll of a server. */
  subscribe (listener: (server: string) => void): void {
    this.listeners.add(listener)
  }

  private pollAll (): void {
    const owned = this.owners.listOwned()
    for (const server of this.results.keys()) if (!owned.includes(server)) this.results.delete(server)
    for (const instance of this.list.all) if (owned.includes(instance.name)) void this.poll(instance)
  }

  private async poll (instance: Instance): Promise<void> {
    const { name, host, port } = instance
    const startedAt = this.clock.now()
    const [health, load] = await Promise.all([this.fetchJson(`http://${host}:${port}/health`), this.pollsLoad ? this.fetchJson(`http://${host}:${port}/load`) : undefined])
    const before = this.results.get(name) ?? { health: HEALTHY, sequences: 0 }
    const next = stepHealth(before.health, health === undefined ? this.classifyTimeout(startedAt) : health.status >= 500 ? 'failed' : 'passed')
    if (next.state !== before.health.state) this.timeline.record({ part: 'ownership', what: next.state === 'down' ? 'server down' : 'server up', server: name })
    const sequences = load?.status === 200 ? Number(load.body?.running ?? 0) + Number(load.body?.waiting ?? 0) : before.sequences
    this.results.set(name, { health: next, sequences })
    for (const listener of this.listeners) listener(name)
  }

  /**
   * Classifies a check without an answer. A daemon that is short of CPU time runs its timeouts late, with answers
   * unread; counting these checks as failed would mark all of its servers down at once. Late checks are therefore
   * ignored, and an unresponsive server fails the checks that time out on time.
   */
  private classifyTimeout (startedAt: number): 'failed' | 'late' {
    return this.clock.now() - startedAt > POLL_TIMEOUT + LATE_MARGIN ? 'late' : 'failed'
  }

  private async fetchJson (url: string): Promise<{ readonly status: number, readonly body: any } | undefined> {
    const abort = new AbortController()
    const cancel = this.clock.after(POLL_TIMEOUT, () => abort.abort())
    try {
      const answer = await request(url, { dispatcher: this.agent, signal: abort.signal })
      return { status: answer.statusCode, body: await answer.body.json().catch(() => undefined) }
    } catch {
      return undefined
    } finally {
      cancel()
    }
  }
}

partRegistry.register({ name: 'server watch', part: ServerWatch, needs: ['server owners', 'instance list'] })
