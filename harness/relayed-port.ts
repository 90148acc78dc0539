import { Relay } from './relay.js'
import type { RelayMode } from './relay-mode.js'
import type { RelayedConnection } from './relayed-connection.js'

/** A port of 127.0.0.1 that is reached through a relay on another loopback address, with one mode for all its connections. */
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

  /** Sets the mode of open connections and, except for a reset, of new ones. */
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
