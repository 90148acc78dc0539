import { readHello } from './read-hello.js'
import { Relay } from './relay.js'
import type { RelayedConnection } from './relayed-connection.js'

/** Where a daemon listens on 127.0.0.1. */
interface RelayedDaemon { readonly name: string, readonly region: string, readonly port: number, readonly peerPort: number }

/** A connection between daemons, and the names of its two ends. */
interface PeerConnection { readonly connection: RelayedConnection, readonly opener: string | undefined, readonly acceptor: string }

/**
 * Simulates a network partition between regions with relays: each daemon announces an address of another loopback
 * network, where a relay listens and forwards to it. The first frame of a connection names the daemon that opened it.
 * Connections to servers and to the platform aren't relayed.
 */
export class RegionPartition {
  /** Differs between processes that start fleets, so that the ports of two fleets never collide. */
  readonly host = `127.1.${process.pid >> 8 & 0xff}.${process.pid & 0xff}`
  private readonly regions = new Map<string, string>()
  private readonly relays = new Map<string, readonly Relay[]>()
  private readonly connections = new Set<PeerConnection>()
  private isPartitioned = false

  /** Starts relaying connections to the daemon. */
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

  /** Stops listening for the daemon: connections are refused, as by the instance of a process that has ended. */
  remove (name: string): void {
    for (const relay of this.relays.get(name) ?? []) relay.close()
    this.relays.delete(name)
  }

  /** Blocks or unblocks all connections between regions, open and new ones. */
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

  /** Not cached: a daemon opens its first connections before the harness has learned its ports and called `add`. */
  private crossesRegions ({ opener, acceptor }: PeerConnection): boolean {
    return this.regions.get(opener ?? '') !== this.regions.get(acceptor)
  }
}
