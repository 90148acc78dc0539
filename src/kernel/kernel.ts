import { container as rootContainer, type DependencyContainer, type InjectionToken } from 'tsyringe'
import { Extensions } from './extensions.js'
import type { Part } from './part.js'
import { partRegistry } from './part-registry.js'

/** Runs one daemon: creates its parts from a container of its own, and starts and stops them in order. */
export class Kernel {
  readonly container: DependencyContainer = rootContainer.createChildContainer()
  private readonly extensions = new Extensions()
  private parts: Part[] = []

  constructor () {
    this.container.registerInstance(Extensions, this.extensions)
  }

  /** Creates all registered parts, then starts each after those that it needs. */
  async start (): Promise<void> {
    const definitions = partRegistry.order()
    this.parts = definitions.map(({ part }) => this.container.resolve(part as InjectionToken<Part>))
    for (const part of this.parts) this.extensions.add(part.extensions ?? [])
    for (const part of this.parts) await part.start?.()
  }

  /** Shuts down gracefully: drains all parts concurrently, then stops them in reverse order. */
  async shutDown (): Promise<void> {
    await Promise.all(this.parts.map(part => part.drain?.()))
    for (const part of [...this.parts].reverse()) await part.stop?.()
  }
}
