import { connect, createServer, type Server, type Socket } from 'node:net'
import { listen } from '../src/http/listen.js'
import { RelayedConnection } from './relayed-connection.js'

interface RelayOptions {
  /** Where the relay listens; it forwards to the same port of 127.0.0.1. */
  readonly host: string
  readonly port: number
  /** Called for each connection with its first bytes, before they are forwarded. */
  readonly onOpen: (connection: RelayedConnection, first: Buffer) => void
}

/** Forwards connections from a port of another loopback address to the same port of 127.0.0.1. */
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

  /** Accepts no more connections; open ones end with the processes at their ends. */
  close (): void {
    this.server.close()
  }

  private open (socket: Socket, first: Buffer): void {
    const connection = new RelayedConnection([socket, connect(this.options.port, '127.0.0.1')])
    this.options.onOpen(connection, first)
    socket.unshift(first)
  }
}
