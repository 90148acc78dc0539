import type { ObjectStore } from '../platform/object-store.js'

const KIND = 'load-slot'

/** Who loads weights in a slot, in the object `load-slot/N`. */
interface Slot {
  /** The server that loads; empty in a free slot. */
  readonly server: string
  /** Wall-clock ms after which the slot is free, whatever became of its holder. */
  readonly until: number
}

interface LoadSlotsOptions {
  readonly store: ObjectStore
  readonly date: () => number
  /** Loads that the weight store's rate allows at once. */
  readonly count: number
  /** Longest time a slot is held without being claimed again, ms. */
  readonly keep: number
}

/**
 * Keeps loads over the whole fleet within the rate of the weight store: a load needs one of a fixed number of slots
 * at the platform. Without it, a change for a pool makes every server of it load at once, and all of them slowly. A
 * slot is claimed by a conditional update, so two never hold the same one.
 */
export class LoadSlots {
  private readonly held = new Map<string, { readonly name: string, readonly version: number, readonly until: number }>()

  constructor (private readonly options: LoadSlotsOptions) {}

  /** Whether the server may load now. Asking again while it holds a slot keeps it. */
  async claim (server: string): Promise<boolean> {
    const { store, count, date, keep } = this.options
    const mine = this.held.get(server)
    if (mine !== undefined && mine.until - date() > keep / 2) return true
    const names = mine === undefined ? Array.from({ length: count }, (_, i) => String(i)) : [mine.name]
    for (const name of names) {
      const slot = await store.get<Slot>(KIND, name, 'background')
      if (slot.err && slot.val.type !== 'missing') return false
      if (slot.ok && slot.val.value.server !== server && slot.val.value.until > date()) continue
      const until = date() + keep
      const written = await store.put<Slot>(KIND, name, { server, until }, slot.ok ? slot.val.version : 0, 'background')
      if (written.err) continue
      this.held.set(server, { name, version: written.val.version, until })
      return true
    }
    this.held.delete(server)
    return false
  }

  /**
   * Takes over the slot that an earlier owner of the server claimed for it. Without it the slot stays taken until its
   * time runs out, although the load has long ended, and other servers wait for nothing.
   */
  async adopt (server: string): Promise<void> {
    for (let i = 0; i < this.options.count; i++) {
      const slot = await this.options.store.get<Slot>(KIND, String(i), 'background')
      if (slot.ok && slot.val.value.server === server) this.held.set(server, { name: String(i), version: slot.val.version, until: slot.val.value.until })
    }
  }

  /** Forgets a server that has another owner now, who adopts its slot. */
  drop (server: string): void {
    this.held.delete(server)
  }

  /** Frees the server's slot, if it holds one. A lost reply is healed by the slot's time running out. */
  async release (server: string): Promise<void> {
    const slot = this.held.get(server)
    if (slot === undefined) return
    this.held.delete(server)
    await this.options.store.put<Slot>(KIND, slot.name, { server: '', until: 0 }, slot.version, 'background')
  }
}
