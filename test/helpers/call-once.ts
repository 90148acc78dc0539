import { request, type Agent, type IncomingMessage } from 'node:http'

/** What a caller saw of one request. Times in ms: `sentAt` by `performance.now`, `took` from the send to the end. */
interface SentCall {
  readonly id: string
  readonly path: string
  readonly sentAt: number
  readonly took: number
  /** `unreached`: the daemon took no connection. `cut`: the connection ended without a whole answer. */
  readonly outcome: 'answered' | 'unreached' | 'cut'
  readonly status: number | undefined
  readonly retryAfter: number | undefined
}

/** Sends one request to a daemon and waits for its end; without an agent it gets a connection of its own. */
export async function callOnce (port: number, path: string, agent?: Agent): Promise<SentCall> {
  const sentAt = performance.now()
  const id = `call${path.replaceAll('/', '-')}`
  const end = (outcome: SentCall['outcome'], answer?: IncomingMessage): SentCall => {
    const retryAfter = answer?.headers['retry-after']
    return { id, path, sentAt, took: performance.now() - sentAt, outcome, status: answer?.statusCode, retryAfter: retryAfter === undefined ? undefined : Number(retryAfter) }
  }
  return await new Promise(resolve => {
    const sent = request({ port, host: '127.0.0.1', path, method: 'POST', agent: agent ?? false, headers: { host: 'desk.example', 'x-request-id': id, 'x-deadline-ms': '5000', 'content-length': 2 } }, answer => {
      answer.on('error', () => {})
      answer.on('close', () => resolve(end(answer.complete ? 'answered' : 'cut', answer)))
      answer.resume()
    })
    sent.on('error', (error: NodeJS.ErrnoException) => resolve(end(error.code === 'ECONNREFUSED' ? 'unreached' : 'cut')))
    sent.end('{}')
  })
}
