import { connect } from 'node:net'

const TIMEOUT = 250
const ATTEMPTS = 10
/** Between attempts, ms. */
const PAUSE = 20
/** A connection that stays open for this long is that of a process that lives, ms. */
const STAYS_OPEN = 40

type Outcome = 'refused' | 'closed' | 'open' | 'silent'

/**
 * Whether nothing listens at the address any more, as after the end of a process. Silence doesn't count as that: an instance that
 * is frozen, cut off or without power may come back with all it had. A process that is ending takes connections for some ms more and
 * closes them unread, so that one that is closed is tried again.
 */
export async function isEnded (host: string, port: number): Promise<boolean> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const outcome = await askAddress(host, port)
    if (outcome !== 'closed') return outcome === 'refused'
    await new Promise(resolve => setTimeout(resolve, PAUSE))
  }
  return false
}

async function askAddress (host: string, port: number): Promise<Outcome> {
  return await new Promise(resolve => {
    const socket = connect({ host, port, timeout: TIMEOUT })
    const settle = (outcome: Outcome): void => {
      socket.destroy()
      resolve(outcome)
    }
    socket.on('connect', () => setTimeout(() => settle('open'), STAYS_OPEN))
    socket.on('timeout', () => settle('silent'))
    socket.on('close', () => settle('closed'))
    socket.on('error', ({ code }: NodeJS.ErrnoException) => settle(code === 'ECONNREFUSED' ? 'refused' : code === 'ECONNRESET' ? 'closed' : 'silent'))
  })
}
