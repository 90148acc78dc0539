import { once } from 'node:events'
import type { Server } from 'node:net'
import type { EarlyServer } from './early-server.js'

/**
 * Makes `server` listen on the socket of an early server, and handle the connections that wait there.
 *
 * @example
 * await takeOver(httpServer, early)
 */
export async function takeOver (server: Server, { server: early, waiting }: EarlyServer): Promise<void> {
  server.listen(early)
  await once(server, 'listening')
  for (const socket of waiting.splice(0)) {
    server.emit('connection', socket)
    socket.resume()
  }
}
