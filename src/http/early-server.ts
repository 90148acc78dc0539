import type { Server, Socket } from 'node:net'

/** A server that listened before the program was there, and the connections that it has accepted since, of which nothing is read. */
export interface EarlyServer {
  readonly server: Server
  readonly waiting: Socket[]
}
