import { Agent, request, type IncomingMessage } from 'node:http'

/** What a caller saw of one request. Times in ms: `at` after the moment that the times of all calls count from, `took` from the send to the end. */
export interface SeenCall {
  readonly id: string
  readonly path: string
  readonly at: number
  readonly took: number
  /** `unreached`: the daemon took no connection. `cut`: the connection ended without a whole answer. */
  readonly outcome: 'answered' | 'unreached' | 'cut'
  readonly status: number | undefined
  readonly retryAfter: number | undefined
}

interface CallOptions {
  readonly port: number
  readonly paths: readonly string[]
  /** Time between two calls, ms. */
  readonly period: number
  /** The moment that the times of all calls count from, by `performance.now`; it may be set later. */
  readonly findStart: () => number
  readonly isGone: () => boolean
}

/** Calls a daemon until its process is gone, by turns on kept and on new connections; resolves with all calls once each has ended. */
export async function callUntilGone ({ port, paths, period, findStart, isGone }: CallOptions): Promise<readonly SeenCall[]> {
  const kept = new Agent({ keepAlive: true })
  const calls: Promise<Omit<SeenCall, 'at'> & { readonly sentAt: number }>[] = []
  for (let n = 0; !isGone(); n++) {
    const path = `${paths[n % paths.length]!}${n}`
    calls.push(callOnce(port, path, Math.floor(n / paths.length) % 2 === 0 ? kept : undefined))
    await new Promise(resolve => setTimeout(resolve, period))
  }
  const seen = await Promise.all(calls)
  kept.destroy()
  return seen.map(({ sentAt, ...call }) => ({ ...call, at: sentAt - findStart() }))
}

async function callOnce (port: number, path: string, agent: Agent | undefined): Promise<Omit<SeenCall, 'at'> & { readonly sentAt: number }> {
  const sentAt = performance.now()
  const id = `call${path.replaceAll('/', '-')}`
  const end = (outcome: SeenCall['outcome'], answer?: IncomingMessage): Awaited<ReturnType<typeof callOnce>> => {
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
