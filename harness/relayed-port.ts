import { Relay } from './relay.js'
import type { RelayMode } from './relay-mode.js'
import type { RelayedConnection } from './relayed-connection.js'

/** A port of 127.0.0.1 as it is reached by way of another loopback address, with what the way does to connections. */
export class RelayedPort {
  private readonly relay: Relay
  private readonly connections = new Set<RelayedConnection>()
  private mode: RelayMode = { type: 'open' }

  constructor (readonly host: string, readonly port: number) {
    this.relay = new Relay({ host, port, onOpen: connection => this.addConnection(connection) })
  }

  get address (): string {
    return `${this.host}:${this.port}`
  }

  async start (): Promise<void> {
    await this.relay.start()
  }

  /** Applies to the connections that are open and, but for a reset, to those that come. */
  setMode (mode: RelayMode): void {
    this.mode = mode
    for (const connection of this.connections) {
      if (connection.closed) this.connections.delete(connection)
      else connection.setMode(mode)
    }
  }

  close (): void {
    this.relay.close()
    for (const connection of this.connections) connection.close()
  }

  private addConnection (connection: RelayedConnection): void {
    this.connections.add(connection)
    if (this.mode.type !== 'open' && this.mode.type !== 'reset') connection.setMode(this.mode)
  }
}
