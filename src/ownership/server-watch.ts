import { inject, Lifecycle, scoped } from 'tsyringe'
import { Agent, request } from 'undici'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline.js'
import type { Instance } from '../store/instance.js'
import { InstanceList } from '../store/instance-list.js'
import type { HealthState } from './health-state.js'
import { readBatchPolicy } from './read-batch-policy.js'
import { ServerOwners } from './server-owners.js'
import { stepHealth } from './step-health.js'

const POLL_PERIOD = 500
const POLL_TIMEOUT = 400
/** A check that is given up this much after its time says more of this daemon than of the server, ms. */
const LATE_MARGIN = 200
/** Past several polls, so that each needn't connect anew; a connection gone silent is closed by the poll that times out on it. */
const KEEP_ALIVE = 4 * POLL_PERIOD
const HEALTHY: HealthState = { state: 'open', failures: 0 }

/** What a poll of one server told. */
interface PollResult { readonly health: HealthState, readonly sequences: number }

/** Health of the servers that this daemon owns, and their lagged load where the policy asks for it; of no others, so that polls are O(servers). */
@scoped(Lifecycle.ContainerScoped)
export class ServerWatch implements Part {
  private readonly agent = new Agent({ connections: 1, keepAliveTimeout: KEEP_ALIVE, keepAliveMaxTimeout: KEEP_ALIVE })
  private readonly results = new Map<string, PollResult>()
  private readonly listeners = new Set<(server: string) => void>()
  /** Only the policy that goes by load reports needs them; asking for them anyway was half of what polls cost. */
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

  /** Leaving by the platform's list or the operators' placement, down by health checks, or open. */
  getState (server: string): 'open' | 'leaving' | 'down' {
    const instance = this.list.all.find(({ name }) => name === server)
    if (instance === undefined || instance.state === 'leaving') return 'leaving'
    if (this.configuration.value.placement?.[instance.pool]?.leaving?.includes(server) === true) return 'leaving'
    return this.results.get(server)?.health.state ?? 'open'
  }

  /** Sequences running and waiting at the server, as it last reported; 0 where nobody asks. */
  getReported (server: string): number {
    return this.results.get(server)?.sequences ?? 0
  }

  /** Takes the server for down until a check of it passes. */
  markDown (server: string): void {
    const { sequences } = this.results.get(server) ?? { sequences: 0 }
    if (this.results.get(server)?.health.state !== 'down') this.timeline.record({ part: 'ownership', what: 'server down', server, detail: 'unreachable' })
    this.results.set(server, { health: { state: 'down', failures: 0 }, sequences })
  }

  /** `listener` runs after each poll of a server. */
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
   * A daemon that gets no processor for a while gives its checks up late, with the answers unread. Its servers, all of them
   * at once, would be taken for down and callers refused, while every server is well. A check that was given up late says
   * nothing; a server that is really silent is found by the first checks that are in time.
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
