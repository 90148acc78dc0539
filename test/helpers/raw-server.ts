import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { once } from 'node:events'

/** A TCP server whose `answer` callback writes raw bytes for each chunk received. `requests` holds the chunks with the numbers of their connections. */
export class RawServer {
  readonly requests: { readonly connection: number, readonly text: string }[] = []
  private readonly sockets = new Set<Socket>()
  private connections = 0

  private constructor (private readonly server: Server) {}

  static async start (answer: (socket: Socket, text: string, connection: number) => void): Promise<RawServer & { readonly port: number }> {
    const server = createServer()
    const raw = new RawServer(server)
    server.on('connection', socket => {
      const connection = raw.connections++
      raw.sockets.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('data', bytes => {
        raw.requests.push({ connection, text: bytes.toString() })
        answer(socket, bytes.toString(), connection)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return Object.assign(raw, { port: (server.address() as AddressInfo).port })
  }

  /** Number of open connections. */
  get open (): number {
    return [...this.sockets].filter(({ destroyed }) => !destroyed).length
  }

  /** Refuses new connections; open ones stay. */
  stopListening (): void {
    this.server.close()
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}
