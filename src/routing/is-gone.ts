import { connect } from 'node:net'

const PROBE_TIMEOUT = 250
const ATTEMPTS = 10
/** Between attempts, ms. */
const PAUSE = 20
/** Malformed: an HTTP server's parser answers it with 400 by itself, so that no call of the server's own is made. */
const QUESTION = '?\r\n\r\n'

/**
 * Whether nothing listens at the address any more, as after the end of a process. Silence doesn't count as that.
 *
 * A process that is ending still takes connections into its backlog for some ms while its others are cut already, and
 * resets them unread. Were a connection enough to hold it for alive, the request that ended it would go on to the next
 * server with nothing held against it. So the server has to answer; one that closes unread is asked again.
 */
export async function isGone (url: string): Promise<boolean> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const outcome = await ask(url)
    if (outcome !== 'closed') return outcome === 'refused'
    await new Promise(resolve => setTimeout(resolve, PAUSE))
  }
  return false
}

async function ask (url: string): Promise<'answered' | 'silent' | 'closed' | 'refused'> {
  const { hostname, port } = new URL(url)
  return await new Promise(resolve => {
    const socket = connect({ host: hostname, port: Number(port), timeout: PROBE_TIMEOUT })
    const settle = (outcome: 'answered' | 'silent' | 'closed' | 'refused'): void => {
      socket.destroy()
      resolve(outcome)
    }
    socket.write(QUESTION)
    socket.once('data', () => settle('answered'))
    socket.once('close', () => settle('closed'))
    // A loop that is late runs timers before what has come in: what waits is read before silence is believed.
    socket.once('timeout', () => setImmediate(() => settle('silent')))
    socket.once('error', error => settle((error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'closed'))
  })
}
