import { once } from 'node:events'
import type { Server } from 'node:net'
import type { EarlyServer } from './early-server.js'

/**
 * Goes on with what an early server listens on, and with the connections that wait there.
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
