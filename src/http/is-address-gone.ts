import { connect } from 'node:net'

/** Limit for connecting and for the first byte of an answer, ms. */
const TIMEOUT = 250
const ATTEMPTS = 10
/** Delay between attempts, ms. */
const RETRY_DELAY = 20
/** Without a probe, a process counts as alive if it keeps the connection open for this long, ms. */
const MIN_OPEN_TIME = 40

interface ProbedAddress {
  readonly host: string
  readonly port: number
  /** A request that a live process answers. If omitted, the process only has to keep the connection open. */
  readonly probe?: string
}

/**
 * Whether nothing listens at an address, as after the end of a process. A timeout doesn't count: a paused or partitioned
 * instance may come back with its state. A process that is exiting may accept connections for some ms more and close them
 * unread, so that a closed connection is retried.
 *
 * @example
 * if (await isAddressGone({ host: '10.0.0.2', port: 7420 })) members.remove('entry-2')
 */
export async function isAddressGone (address: ProbedAddress): Promise<boolean> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const outcome = await checkConnection(address)
    if (outcome !== 'closed') return outcome === 'refused'
    await new Promise(resolve => setTimeout(resolve, RETRY_DELAY))
  }
  return false
}

async function checkConnection ({ host, port, probe }: ProbedAddress): Promise<'alive' | 'silent' | 'closed' | 'refused'> {
  return await new Promise(resolve => {
    const socket = connect({ host, port, timeout: TIMEOUT })
    const settle = (outcome: 'alive' | 'silent' | 'closed' | 'refused'): void => {
      socket.destroy()
      resolve(outcome)
    }
    if (probe === undefined) socket.once('connect', () => setTimeout(() => settle('alive'), MIN_OPEN_TIME))
    else socket.write(probe)
    socket.once('data', () => settle('alive'))
    socket.once('close', () => settle('closed'))
    // A delayed event loop runs timers before it reads sockets, so that data which has arrived is read before the timeout counts.
    socket.once('timeout', () => setImmediate(() => settle('silent')))
    socket.once('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'closed'))
  })
}
