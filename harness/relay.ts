import { connect, createServer, type Server, type Socket } from 'node:net'
import { listen } from '../src/http/listen.js'
import { RelayedConnection } from './relayed-connection.js'

interface RelayOptions {
  /** Where the relay listens; it passes on to the same port of 127.0.0.1. */
  readonly host: string
  readonly port: number
  /** Hears of each connection with the first bytes that came over it, before they are passed on. */
  readonly onOpen: (connection: RelayedConnection, first: Buffer) => void
}

/** Passes on what comes to a port of another loopback address to the same port of 127.0.0.1. */
export class Relay {
  private readonly server: Server

  constructor (private readonly options: RelayOptions) {
    this.server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', first => this.open(socket, first as Buffer))
    })
  }

  async start (): Promise<void> {
    await listen(this.server, this.options.host, this.options.port)
  }

  /** Takes no more connections; those that are open end with the processes at their ends. */
  close (): void {
    this.server.close()
  }

  private open (socket: Socket, first: Buffer): void {
    const connection = new RelayedConnection([socket, connect(this.options.port, '127.0.0.1')])
    this.options.onOpen(connection, first)
    socket.unshift(first)
  }
}
