import { connect } from 'node:net'

const TIMEOUT = 250
const ATTEMPTS = 10
/** Between attempts, ms. */
const RETRY_DELAY = 20
/** Asked nothing, a process lives if it keeps the connection open for this long, ms. */
const MIN_OPEN_TIME = 40

interface ProbedAddress {
  readonly host: string
  readonly port: number
  /** What a process that lives answers. Left out, it need only keep the connection open. */
  readonly probe?: string
}

/**
 * Whether nothing listens at an address any more, as after the end of a process. Silence doesn't count as that: an instance that is
 * frozen, cut off or without power may come back with all it had. A process that is ending still takes connections for some ms
 * and closes them unread, so that one that is closed is tried again.
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
    // A loop that is late runs timers before what has come in: what waits is read before silence is believed.
    socket.once('timeout', () => setImmediate(() => settle('silent')))
    socket.once('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'closed'))
  })
}
