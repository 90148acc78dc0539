import { listPages } from '../../store/list-pages.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import type { StoredObject } from '../../store/stored-object.js'

const KIND = 'load-slot'

/** The holder of a slot for loading weights, stored in the object `load-slot/N`. */
interface Slot {
  /** The server that loads; empty if the slot is free. */
  readonly server: string
  /** Wall-clock ms after which the slot is free, whatever happened to its holder. */
  readonly until: number
}

interface LoadSlotsOptions {
  readonly store: ObjectStore
  readonly date: () => number
  /** Most loads that the weight store sustains at once. */
  readonly count: number
  /** How long a slot is held without being claimed again, ms. */
  readonly duration: number
}

type SlotObject = Pick<StoredObject<Slot>, 'name' | 'version' | 'value'>

const FREE: Slot = { server: '', until: 0 }

/**
 * Limits model loads over the whole fleet to what the weight store sustains: each load needs one of a fixed number of
 * slots in the store, claimed by a conditional update. Without this limit, a change to a pool makes all of its servers
 * load at once, each of them slowly. A slot that isn't claimed again, for example because its holder crashed, is free
 * after `duration` ms.
 */
export class LoadSlots {
  private readonly held = new Map<string, { readonly name: string, readonly version: number, readonly until: number }>()

  constructor (private readonly options: LoadSlotsOptions) {}

  /**
   * Claims a slot; returns whether the server may start to load. Claiming again while a slot is held renews it by a
   * write: another daemon that also believes it owns the server may have freed the slot meanwhile, and relying on the
   * local copy would allow one load too many. A write without a reply may have taken the slot, and trying the next slot
   * could take two for one load. It therefore counts as refused, and the next call finds the slot by the server's name.
   */
  async claim (server: string): Promise<boolean> {
    const current = this.held.get(server)
    if (current !== undefined && await this.write(server, current) === 'ok') return true
    for (const slot of await this.listClaimable(server)) {
      const written = await this.write(server, slot)
      if (written === 'ok') return true
      if (written !== 'conflict') break
    }
    this.held.delete(server)
    return false
  }

  /** Renews the slot of a server that is loading, by a write only once half of its duration is over. */
  async renew (server: string): Promise<void> {
    const current = this.held.get(server)
    if (current === undefined || current.until - this.options.date() <= this.options.duration / 2) await this.claim(server)
  }

  /**
   * Takes over the slot that an earlier owner of the server claimed for it; returns false if the store couldn't be
   * read. A slot that isn't taken over stays claimed until it expires, and blocks other servers although the load is
   * over.
   */
  async adopt (server: string): Promise<boolean> {
    const slots = await this.list()
    if (slots === undefined) return false
    const own = slots.find(({ value }) => value.server === server)
    if (own === undefined) this.held.delete(server)
    else this.held.set(server, { name: own.name, version: own.version, until: own.value.until })
    return true
  }

  /** Forgets the slot of a server that now has another owner, which adopts it. */
  drop (server: string): void {
    this.held.delete(server)
  }

  /**
   * Frees the server's slot, if it holds one; call it regularly while the server loads nothing, since a failed write is
   * only repeated by the next call. If two daemons that both believed they own the server wrote its slot in turn, the
   * version has changed: the slot is then read again and freed by the next call. Forgetting it instead would keep it
   * claimed until it expires.
   */
  async release (server: string): Promise<void> {
    const slot = this.held.get(server)
    if (slot === undefined) return
    const freed = await this.options.store.put<Slot>(KIND, slot.name, FREE, slot.version, 'background')
    if (freed.ok) this.held.delete(server)
    else if (freed.val.type === 'conflict') await this.adopt(server)
  }

  private async write (server: string, { name, version }: Pick<SlotObject, 'name' | 'version'>): Promise<'ok' | StoreError['type']> {
    const { store, date, duration } = this.options
    const until = date() + duration
    const written = await store.put<Slot>(KIND, name, { server, until }, version, 'background')
    if (written.err) return written.val.type
    this.held.set(server, { name, version: written.val.version, until })
    return 'ok'
  }

  /**
   * Returns the slots that the server may claim: its own if it has one, else the free ones; none if the store can't be
   * read.
   */
  private async listClaimable (server: string): Promise<readonly SlotObject[]> {
    const slots = await this.list() ?? []
    const own = slots.filter(({ value }) => value.server === server)
    return own.length > 0 ? own : slots.filter(({ value }) => value.until <= this.options.date())
  }

  private async list (): Promise<readonly SlotObject[] | undefined> {
    const known = new Map<string, SlotObject>()
    for await (const page of listPages<Slot>(this.options.store, KIND)) {
      if (page.err) return undefined
      for (const slot of page.val) known.set(slot.name, slot)
    }
    return Array.from({ length: this.options.count }, (_, i) => known.get(String(i)) ?? { name: String(i), version: 0, value: FREE })
  }
}
