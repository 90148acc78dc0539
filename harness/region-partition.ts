import { readHello } from './read-hello.js'
import { Relay } from './relay.js'
import type { RelayedConnection } from './relayed-connection.js'

/** Where a daemon listens on 127.0.0.1. */
interface RelayedDaemon { readonly name: string, readonly region: string, readonly port: number, readonly peerPort: number }

/** A connection between daemons, and the names of its two ends. */
interface PeerConnection { readonly connection: RelayedConnection, readonly opener: string | undefined, readonly acceptor: string }

/**
 * Makes the connections between daemons of different regions silent for a while, with no tool but a relay: each daemon
 * tells an address of its own of the loopback network, where the harness listens and passes on to it. Who opened a
 * connection is read from its first frame. The ways to servers and to the platform stay whole.
 */
export class RegionPartition {
  /** Another address for each process that starts fleets, so that the ports of two fleets never meet. */
  readonly host = `127.1.${process.pid >> 8 & 0xff}.${process.pid & 0xff}`
  private readonly regions = new Map<string, string>()
  private readonly relays = new Map<string, readonly Relay[]>()
  private readonly connections = new Set<PeerConnection>()
  private isPartitioned = false

  /** Passes on to the daemon from here on. */
  async add ({ name, region, port, peerPort }: RelayedDaemon): Promise<void> {
    this.remove(name)
    this.regions.set(name, region)
    const relays = [
      new Relay({ host: this.host, port, onOpen: () => {} }),
      new Relay({ host: this.host, port: peerPort, onOpen: (connection, first) => this.addConnection({ connection, opener: readHello(first), acceptor: name }) })
    ]
    this.relays.set(name, relays)
    await Promise.all(relays.map(async relay => await relay.start()))
  }

  /** Passes nothing on any more: connections to the daemon are refused, as by its instance. */
  remove (name: string): void {
    for (const relay of this.relays.get(name) ?? []) relay.close()
    this.relays.delete(name)
  }

  setPartitioned (isPartitioned: boolean): void {
    this.isPartitioned = isPartitioned
    for (const peer of this.connections) {
      if (peer.connection.closed) this.connections.delete(peer)
      else if (this.crossesRegions(peer)) peer.connection.setMode({ type: isPartitioned ? 'silent' : 'open' })
    }
  }

  close (): void {
    for (const name of [...this.relays.keys()]) this.remove(name)
  }

  private addConnection (peer: PeerConnection): void {
    this.connections.add(peer)
    if (this.isPartitioned && this.crossesRegions(peer)) peer.connection.setMode({ type: 'silent' })
  }

  /** Asked anew each time: a daemon opens its first connections before the harness has heard where it listens. */
  private crossesRegions ({ opener, acceptor }: PeerConnection): boolean {
    return this.regions.get(opener ?? '') !== this.regions.get(acceptor)
  }
}
