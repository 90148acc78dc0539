import type { Server, Socket } from 'node:net'

/** A server that listens before the program is loaded, and the connections that it has accepted, from which nothing has been read. */
export interface EarlyServer {
  readonly server: Server
  readonly waiting: Socket[]
  /** Number of connections that it has closed at once, as too many wait. */
  readonly refused: number
}
