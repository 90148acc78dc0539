import { request } from 'node:http'
import type { Socket } from 'node:net'
import { Err, Ok, type Result } from 'ts-results'
import { BurstLimit } from '../kernel/burst-limit.js'
import { isFinalStatus } from './is-final-status.js'
import { RequestBody } from './request-body.js'
import { splitReads } from './split-reads.js'

/** Most interim heads and parts of a body that an answer may have in a second; each costs a call. */
const INTERIM_HEADS = { count: 100, period: 1_000 }
const PARTS = { count: 1_000, period: 1_000 }
/** Most that the parser gets at a time, bytes: it reads what it has got to its end, however early the answer is given up. */
const MAX_READ = 4_096

interface Question {
  readonly path: string
  readonly host: string
  /** Longest wait for the whole answer, ms. */
  readonly timeout: number
  /** Longest body of the answer, bytes. */
  readonly maxBody: number
}

interface Answer {
  readonly status: number
  readonly body: Buffer
  /** Whether the connection can carry another request. */
  readonly isOpen: boolean
}

/**
 * Sends a request as the first one on a connection and reads the answer; without a whole one, the connection is destroyed.
 *
 * @example
 * const answer = await askOnConnection(socket, { path: '/health', host: '10.0.0.2:80', timeout: 1_000, maxBody: 10_000 })
 */
export async function askOnConnection (socket: Socket, { path, host, timeout, maxBody }: Question): Promise<Result<Answer, Error>> {
  const join = splitReads(socket, MAX_READ)
  try {
    return Ok(await new Promise<Answer>((resolve, reject) => {
      const sent = request({ createConnection: () => socket, path, headers: { host, connection: 'keep-alive' } })
      const heads = new BurstLimit(INTERIM_HEADS)
      const parts = new BurstLimit(PARTS)
      let hasAnswer = false
      const timer = setTimeout(() => sent.destroy(new Error(`no answer on a new connection within ${timeout} ms`)), timeout)
      sent.once('response', answer => {
        hasAnswer = true
        if (!isFinalStatus(answer.statusCode!)) return sent.destroy(new Error(`the first answer on a connection has status ${answer.statusCode}`))
        const onPiece = (): void => { if (parts.isPassed()) sent.destroy(new Error('the parts of the first answer on a connection have no end')) }
        const reading = new RequestBody(answer, { getLimit: () => maxBody, onPiece }).whole
        const settle = (): void => {
          socket.pause()
          socket.off('error', reject)
          void reading.then(body => body.ok ? resolve({ status: answer.statusCode!, body: body.val, isOpen: !socket.destroyed && !socket.readableEnded }) : reject(new Error(`the first answer on a connection was ${body.val}`)))
        }
        void reading.then(body => { if (body.err) sent.destroy() })
        // Emitted where the connection stays open. Its end may have arrived with the answer, and is read in one of the next two turns.
        socket.once('free', () => {
          socket.on('error', reject)
          setImmediate(() => setImmediate(settle))
        })
        socket.once('close', settle)
      })
      sent.on('information', () => { if (heads.isPassed()) sent.destroy(new Error('the interim heads of the first answer on a connection have no end')) })
      sent.once('error', reject)
      sent.once('close', () => {
        clearTimeout(timer)
        if (!hasAnswer) reject(new Error('a new connection was closed without an answer'))
      })
      sent.end()
    }))
  } catch (error) {
    socket.destroy()
    return Err(error as Error)
  } finally {
    join()
  }
}
