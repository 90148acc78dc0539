import type { buildConnector } from 'undici'

const RESET = 'ECONNRESET'

/** Returns a connector that calls `onReset` with the address when the peer resets one of its connections. */
export function watchResets (connect: buildConnector.connector, onReset: (address: string) => void): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...[error, socket]: Parameters<buildConnector.Callback>) => {
      socket?.on('error', ({ code }: NodeJS.ErrnoException) => { if (code === RESET) onReset(options.host!) })
      callback(...[error, socket] as Parameters<buildConnector.Callback>)
    })
  }
}
