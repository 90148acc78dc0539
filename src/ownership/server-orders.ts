import { inject, Lifecycle, scoped } from 'tsyringe'
import { request } from 'undici'
import type { Configuration } from '../config/configuration.js'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import { ConfigurationObjects } from '../config/configuration-objects.js'
import { createAgent } from '../http/create-agent.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import type { Instance } from '../store/instance.js'
import { InstanceList } from '../store/instance-list.js'
import type { ObjectStore } from '../store/object-store.js'
import { LoadSlots } from './load/load-slots.js'
import { planOrder } from './plan-order.js'
import type { ServerOrder } from './server-order.js'
import { ServerOwners } from './server-owners.js'
import type { ServerState } from './server-state.js'

const RECONCILE_PERIOD = 500 // ms
/** Timeout of an order, ms; must be less than `longestAction` of the claims. */
const ORDER_TIMEOUT = 1_500
const STATE_TIMEOUT = 400
/** Most loads over the fleet at once. */
const MAX_LOADS = 2
/**
 * How long a slot is held without renewal, ms; a slot lost by a crash or a lost reply blocks other loads for at most
 * this time.
 */
const SLOT_DURATION = 6_000

/**
 * Reconciles the servers that this daemon owns with their configured placement: reads the state of each and sends one
 * order at a time. An order carries the fencing number of a freshly proven claim; to servers that don't check it, no
 * order is sent before the last one of an earlier owner must have arrived.
 */
@scoped(Lifecycle.ContainerScoped)
export class ServerOrders implements Part {
  private readonly agent = createAgent({ connections: 1, keepAliveTimeout: RECONCILE_PERIOD, keepAliveMaxTimeout: RECONCILE_PERIOD })
  private readonly slots: LoadSlots
  private readonly busy = new Set<string>()
  /** Owned servers whose load slots have been taken over from any earlier owner. */
  private readonly adopted = new Set<string>()
  private cancel = (): void => {}

  constructor (
    @inject(ServerOwners) private readonly owners: ServerOwners,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(ConfigurationObjects) private readonly objects: ConfigurationObjects,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.store) store: ObjectStore,
    @inject(tokens.clock) private readonly clock: Clock
  ) {
    this.slots = new LoadSlots({ store, date: () => clock.date(), count: MAX_LOADS, duration: SLOT_DURATION })
  }

  async start (): Promise<void> {
    this.cancel = this.clock.every(RECONCILE_PERIOD, () => this.reconcileAll())
  }

  async stop (): Promise<void> {
    this.cancel()
    await this.agent.destroy()
  }

  private reconcileAll (): void {
    const owned = this.owners.listOwned()
    for (const server of this.adopted) if (!owned.includes(server)) this.forget(server)
    for (const instance of this.list.all) {
      const { value } = this.configuration
      if (value.placement?.[instance.pool] !== undefined && owned.includes(instance.name) && !this.busy.has(instance.name)) void this.reconcile(instance, value)
    }
  }

  private forget (server: string): void {
    this.adopted.delete(server)
    this.slots.drop(server)
  }

  private async adopt (server: string): Promise<boolean> {
    if (!this.adopted.has(server) && await this.slots.adopt(server)) this.adopted.add(server)
    return this.adopted.has(server)
  }

  private async reconcile (instance: Instance, configuration: Configuration): Promise<void> {
    this.busy.add(instance.name)
    const state = await this.adopt(instance.name) ? await this.readState(instance) : undefined
    if (state !== undefined) await this.applyPlacement(instance, configuration, state)
    this.busy.delete(instance.name)
  }

  private async applyPlacement (instance: Instance, configuration: Configuration, state: ServerState): Promise<void> {
    const { name } = instance
    const placement = configuration.placement![instance.pool]!
    const order = planOrder(placement, state)
    if (order === undefined) {
      if (state.models.some(({ state }) => state === 'loading')) await this.slots.renew(name)
      else await this.slots.release(name)
      return
    }
    // A slot claimed before the ownership claim settles would block settled owners of other servers.
    if (!this.owners.isSettled(name, placement.checksFencing)) return
    if (order.kind === 'load' && !await this.slots.claim(name)) return
    // The proof arrives with the store's reply; the next reconciliation uses it.
    if (this.owners.getAuthority(name, placement.checksFencing) === undefined) return this.owners.confirm(name, placement.checksFencing)
    if (!await this.isCurrent(configuration)) return
    const fencing = this.owners.getAuthority(name, placement.checksFencing)
    if (fencing !== undefined) await this.send(instance, order, fencing)
  }

  /**
   * Whether the configuration is the last accepted one, by a read of the store. A daemon that was paused claims its
   * servers again, under the highest fencing numbers, possibly before it has received the current configuration.
   * Servers wouldn't refuse its outdated orders.
   */
  private async isCurrent ({ version }: Configuration): Promise<boolean> {
    const manifest = await this.objects.readManifest('background')
    return manifest.ok && manifest.val.version === version
  }

  private async send (instance: Instance, order: ServerOrder, fencing: number): Promise<void> {
    const answer = await this.call(instance, '/orders', ORDER_TIMEOUT, JSON.stringify({ ...order, fencing }))
    const what = answer === undefined ? 'order unanswered' : answer.status < 300 ? 'ordered' : 'order refused'
    this.timeline.record({ part: 'ownership', what, server: instance.name, detail: `${JSON.stringify(order)} fencing ${fencing}` })
  }

  private async readState (instance: Instance): Promise<ServerState | undefined> {
    const answer = await this.call(instance, '/state', STATE_TIMEOUT)
    return answer?.status === 200 && Array.isArray(answer.body?.models) ? answer.body : undefined
  }

  private async call ({ host, port }: Instance, path: string, timeout: number, body?: string): Promise<{ readonly status: number, readonly body: any } | undefined> {
    const abort = new AbortController()
    const cancel = this.clock.after(timeout, () => abort.abort())
    try {
      const answer = await request(`http://${host}:${port}${path}`, { dispatcher: this.agent, signal: abort.signal, method: body === undefined ? 'GET' : 'POST', body: body ?? null, reset: body !== undefined })
      return { status: answer.statusCode, body: await answer.body.json().catch(() => undefined) }
    } catch {
      return undefined
    } finally {
      cancel()
    }
  }
}

partRegistry.register({ name: 'server orders', part: ServerOrders, needs: ['server owners', 'instance list', 'configuration'] })
