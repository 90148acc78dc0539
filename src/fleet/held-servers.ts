import type { Instance } from '../store/instance.js'

/** Servers that stay in use for a while although their entries were deleted. Times in monotonic ms. */
export class HeldServers {
  private readonly held = new Map<string, { readonly instance: Instance, readonly until: number }>()

  list (): readonly Instance[] {
    return [...this.held.values()].map(({ instance }) => instance)
  }

  put (name: string, instance: Instance, until: number): void {
    this.held.set(name, { instance, until })
  }

  /** Drops those of `names` that are held, and returns them. */
  drop (names: Iterable<string>): readonly string[] {
    return [...names].filter(name => this.held.delete(name))
  }

  /** Drops the servers whose time is over; returns whether there were any. */
  dropExpired (now: number): boolean {
    const expired = [...this.held].filter(([, { until }]) => now >= until)
    return this.drop(expired.map(([name]) => name)).length > 0
  }
}
