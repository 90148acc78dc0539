import type { Clock } from '../../src/kernel/clock.js'
import { Random } from '../../src/kernel/random.js'
import type { Settings } from '../../src/kernel/settings.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { Members } from '../../src/peers/members.js'
import type { PeerHandler } from '../../src/peers/peer-handler.js'
import type { PeerLinks } from '../../src/peers/peer-links.js'
import type { PeerMessage } from '../../src/peers/peer-message.js'
import { PlatformClient } from '../../src/store/platform-client.js'
import { StoreRelay } from '../../src/store/store-relay.js'
import { TroubledStore } from './troubled-store.js'
import type { VirtualClock } from './virtual-clock.js'

/** Options of the store's client on the users' machines. */
const CLIENT_OPTIONS = { maxProbeDelay: 600, callerTimeout: 250, fleetRates: { reads: 2_000, writes: 400 } }
/** Latency of a message between daemons, ms. */
const LATENCY = 1

/** Clients of one store with trouble, each of which may reach it through the others, on virtual time. */
export class RelayedStores {
  readonly store: TroubledStore
  /** Messages sent between daemons. */
  sent = 0
  private readonly handlers = new Map<string, readonly PeerHandler[]>()

  constructor (private readonly names: readonly string[], private readonly time: VirtualClock) {
    this.store = new TroubledStore(time)
  }

  open (name: string, clock: Clock): PlatformClient {
    const random = new Random(this.names.indexOf(name))
    const client = new PlatformClient(this.store.connect(name, clock), { clock, random, ...CLIENT_OPTIONS })
    const members = { all: () => this.names.map(instance => ({ instance: { name: instance }, state: 'alive', run: 1 })) } as unknown as Members
    const links = { send: (to: string, message: PeerMessage) => this.send(name, to, message) } as unknown as PeerLinks
    const relay = new StoreRelay(client, { instance: name } as unknown as Settings, clock, random, { write: () => {} }, new Metrics(), members, links)
    this.handlers.set(name, relay.extensions.map(({ value }) => value as PeerHandler))
    void relay.start()
    return client
  }

  private send (from: string, to: string, message: PeerMessage): void {
    this.sent++
    this.time.after(LATENCY, () => { for (const handler of this.handlers.get(to) ?? []) if (handler.type === message.type) handler.handle(message, from) })
  }
}
