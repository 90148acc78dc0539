import { Err, Ok, type Result } from 'ts-results'
import type { EngineParameters } from './engine-parameters.js'
import type { Order } from './order.js'

type StateParameters = Pick<EngineParameters, 'checksFencing' | 'models' | 'role' | 'weightBytes' | 'weightBytesPerSecond'>

/** A model on the engine; its weights are loaded at `readyAt`, ms. */
interface LoadedModel { readonly model: string, readonly readyAt: number }

/** The state of an engine that orders change: its models, its role, and the last accepted fencing number. */
export class EngineState {
  private models: readonly LoadedModel[]
  private role: string
  private fencing = 0
  private weightStoreFreeAt = 0
  /** All accepted orders, in order, for tests. */
  readonly accepted: Array<Order & { readonly at: number }> = []

  constructor (private readonly parameters: StateParameters) {
    this.models = parameters.models.map(model => ({ model, readyAt: 0 }))
    this.role = parameters.role
  }

  /** Applies an order, or refuses it with the last fencing number if that is checked and higher. */
  apply (order: Order, now: number): Result<void, { readonly fencing: number }> {
    if (this.parameters.checksFencing && order.fencing < this.fencing) return Err({ fencing: this.fencing })
    this.fencing = this.parameters.checksFencing ? order.fencing : Math.max(this.fencing, order.fencing)
    this.accepted.push({ ...order, at: now })
    switch (order.kind) {
      case 'load': this.load(order.model, now); break
      case 'unload': this.models = this.models.filter(({ model }) => model !== order.model); break
      case 'role': this.role = order.role
    }
    return Ok(undefined)
  }

  read (now: number): { readonly models: ReadonlyArray<{ readonly model: string, readonly state: 'loading' | 'loaded' }>, readonly role: string, readonly fencing: number } {
    const models = this.models.map(({ model, readyAt }) => ({ model, state: readyAt <= now ? 'loaded' as const : 'loading' as const }))
    return { models, role: this.role, fencing: this.fencing }
  }

  /** Starts loading a model; loads run one after another at the rate of the weight store. */
  private load (model: string, now: number): void {
    if (this.models.some(loaded => loaded.model === model)) return
    const { weightBytes, weightBytesPerSecond } = this.parameters
    this.weightStoreFreeAt = Math.max(now, this.weightStoreFreeAt) + weightBytes / weightBytesPerSecond * 1_000
    this.models = [...this.models, { model, readyAt: this.weightStoreFreeAt }]
  }
}
