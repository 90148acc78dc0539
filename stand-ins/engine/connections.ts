import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** The open connections of a stand-in, oldest first, and which of them are stalled. */
export class Connections {
  private readonly open = new Set<Socket>()
  private readonly stalled = new WeakSet<Socket>()

  constructor (server: Server) {
    server.on('connection', socket => {
      this.open.add(socket)
      socket.on('close', () => this.open.delete(socket))
    })
  }

  /** Stalls up to `count` open connections other than `except`: nothing more is read from or written to them. */
  stall (count: number, except: Socket): void {
    for (const socket of [...this.open].filter(socket => socket !== except).slice(0, count)) {
      this.stalled.add(socket)
      socket.pause()
    }
  }

  isStalled (socket: Socket | null): boolean {
    return socket !== null && this.stalled.has(socket)
  }
}
