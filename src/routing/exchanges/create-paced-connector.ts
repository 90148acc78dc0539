import type { buildConnector } from 'undici'
import { PacedSocket } from './paced-socket.js'

/** Times in ms. */
interface PacedConnectorOptions {
  /** Longest time to establish a connection. */
  readonly timeout: number
  /** Shortest time between two reads of a connection. */
  readonly period: number
}

/** Creates an undici connector whose connections read at most once per `period`, for answers that aren't relayed live. */
export function createPacedConnector ({ timeout, period }: PacedConnectorOptions): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = new PacedSocket(period)
    const onError = (error: Error): void => {
      clearTimeout(timer)
      callback(error, null)
    }
    const timer = setTimeout(() => socket.destroy(new Error(`no connection within ${timeout} ms`)), timeout)
    socket.once('error', onError)
    socket.once('connect', () => {
      clearTimeout(timer)
      socket.off('error', onError)
      callback(null, socket)
    })
    socket.setNoDelay(true)
    socket.connect({ host: hostname, port: Number(port) })
  }
}
