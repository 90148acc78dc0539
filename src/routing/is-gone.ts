import { connect } from 'node:net'

const PROBE_TIMEOUT = 250

/** Whether nothing listens at the address any more, as after the end of a process. Silence doesn't count as that. */
export async function isGone (url: string): Promise<boolean> {
  const { hostname, port } = new URL(url)
  return await new Promise(resolve => {
    const socket = connect({ host: hostname, port: Number(port), timeout: PROBE_TIMEOUT })
    const settle = (gone: boolean): void => {
      socket.destroy()
      resolve(gone)
    }
    socket.once('connect', () => settle(false))
    socket.once('timeout', () => settle(false))
    socket.once('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED'))
  })
}
