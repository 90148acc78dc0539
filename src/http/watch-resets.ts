import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'

const RESET = 'ECONNRESET'
/** Replaces the system's code of the error of a connection that its peer reset. */
const WATCHED_RESET = 'CONNECTION_RESET'

/**
 * Returns a connector whose connections fail with a code of their own when their peer resets them, and that calls `onReset` with the
 * address then. undici takes the system's code for the regular end of an answer that has neither a length nor chunks, and the system
 * hands over a reset that arrives together with data as a regular close.
 */
export function watchResets (connect: buildConnector.connector, onReset: (address: string) => void = () => {}): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...[error, socket]: Parameters<buildConnector.Callback>) => {
      if (error === null) watchSocket(socket!, () => onReset(options.host!))
      callback(...[error, socket] as Parameters<buildConnector.Callback>)
    })
  }
}

function watchSocket (socket: Socket, onReset: () => void): void {
  socket.prependListener('error', (reason: NodeJS.ErrnoException) => {
    if (reason.code === RESET) reason.code = WATCHED_RESET
    if (reason.code === WATCHED_RESET) onReset()
  })
  const push = socket.push.bind(socket)
  socket.push = (chunk, encoding) => {
    if (chunk !== null || !isReset(socket)) return push(chunk, encoding)
    socket.destroy(Object.assign(new Error('the connection was reset'), { code: WATCHED_RESET }))
    return false
  }
}

/** A connection that was closed regularly still has a peer; one that was reset has none. */
function isReset (socket: Socket): boolean {
  return socket.remotePort === undefined
}
