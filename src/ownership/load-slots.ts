import type { ObjectStore } from '../store/object-store.js'
import type { StoreError } from '../store/store-error.js'
import type { StoredObject } from '../store/stored-object.js'

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
  readonly duration: number
}

type SlotObject = Pick<StoredObject<Slot>, 'name' | 'version' | 'value'>

const FREE: Slot = { server: '', until: 0 }

/**
 * Keeps loads over the whole fleet within the rate of the weight store: a load needs one of a fixed number of slots
 * at the platform. Without it, a change for a pool makes every server of it load at once, and all of them slowly. A
 * slot is claimed by a conditional update, so two never hold the same one. A slot that nobody claims again, because
 * its holder is dead or lost track of it, is free after `keep` ms.
 */
export class LoadSlots {
  private readonly held = new Map<string, { readonly name: string, readonly version: number, readonly until: number }>()

  constructor (private readonly options: LoadSlotsOptions) {}

  /**
   * Whether the server may begin to load now. Asking again while it holds a slot keeps it, by a write each time: two
   * daemons that both believe to own the server know of one slot, the other may have freed it, and a load that went by
   * what this one remembers would be one too many. A write without a reply may have taken a slot: trying the next one
   * then takes two for one load. So it counts as refused, and the next call finds the slot by the server's name.
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

  /** Keeps the slot of a server that loads, with a write only when half of its time is over. */
  async renew (server: string): Promise<void> {
    const current = this.held.get(server)
    if (current === undefined || current.until - this.options.date() <= this.options.duration / 2) await this.claim(server)
  }

  /**
   * Takes over the slot that an earlier owner of the server claimed for it; says whether that is done. Without it the
   * slot stays taken until its time runs out, although the load has long ended, and other servers wait for nothing.
   */
  async adopt (server: string): Promise<boolean> {
    const slots = await this.list()
    if (slots === undefined) return false
    const own = slots.find(({ value }) => value.server === server)
    if (own === undefined) this.held.delete(server)
    else this.held.set(server, { name: own.name, version: own.version, until: own.value.until })
    return true
  }

  /** Forgets a server that has another owner now, who adopts its slot. */
  drop (server: string): void {
    this.held.delete(server)
  }

  /**
   * Frees the server's slot, if it holds one; to be called again until the load has long ended. Two daemons that both
   * believed to own the server have written its slot in turn: the one that stays meets a changed version, and a slot
   * it forgot then kept every other server waiting. So it takes the slot as it is now and frees that the next time,
   * as it does after a write that failed.
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

  /** The slots that the server may claim: its own, or else those that are free. None while the platform is out. */
  private async listClaimable (server: string): Promise<readonly SlotObject[]> {
    const slots = await this.list() ?? []
    const own = slots.filter(({ value }) => value.server === server)
    return own.length > 0 ? own : slots.filter(({ value }) => value.until <= this.options.date())
  }

  private async list (): Promise<readonly SlotObject[] | undefined> {
    const found = await this.options.store.list<Slot>(KIND)
    if (found.err) return undefined
    const known = new Map(found.val.map(slot => [slot.name, slot]))
    return Array.from({ length: this.options.count }, (_, i) => known.get(String(i)) ?? { name: String(i), version: 0, value: FREE })
  }
}
