import { request } from 'node:http'
import type { Socket } from 'node:net'
import { Err, Ok, type Result } from 'ts-results'
import { BurstLimit } from '../kernel/burst-limit.js'
import { EndlessAnswer } from './endless-answer.js'
import { readBody } from './read-body.js'

/** Most interim heads and parts of a body that an answer may have in a second; each costs a call. */
const INTERIM_HEADS = { count: 100, period: 1_000 }
const PARTS = { count: 1_000, period: 1_000 }

interface Question {
  readonly path: string
  readonly host: string
  /** Longest wait for the whole answer, ms. */
  readonly timeout: number
  /** Longest body of the answer, bytes. */
  readonly maxBody: number
}

interface Answer { readonly status: number, readonly body: Buffer }

/**
 * Sends a request as the first one on a connection and reads the answer. The connection carries others after that; if there is no whole
 * answer, or the peer closes the connection behind it, it is destroyed.
 *
 * @example
 * const answer = await askOnConnection(socket, { path: '/health', host: '10.0.0.2:80', timeout: 1_000, maxBody: 10_000 })
 */
export async function askOnConnection (socket: Socket, { path, host, timeout, maxBody }: Question): Promise<Result<Answer, Error>> {
  try {
    return Ok(await new Promise<Answer>((resolve, reject) => {
      const heads = new BurstLimit(INTERIM_HEADS)
      const parts = new BurstLimit(PARTS)
      const sent = request({ createConnection: () => socket, path, headers: { host, connection: 'keep-alive' } }, answer => {
        const reading = readBody(answer, maxBody)
        answer.on('data', () => { if (parts.isPassed()) sent.destroy(new EndlessAnswer('the parts of the first answer on a connection have no end')) })
        socket.once('free', () => {
          socket.pause()
          void reading.then(body => body.ok ? resolve({ status: answer.statusCode!, body: body.val }) : reject(new Error(`the first answer on a connection was ${body.val}`)))
        })
      })
      const timer = setTimeout(() => sent.destroy(new Error(`no answer on a new connection within ${timeout} ms`)), timeout)
      sent.on('information', () => { if (heads.isPassed()) sent.destroy(new EndlessAnswer('the interim heads of the first answer on a connection have no end')) })
      sent.once('error', reject)
      // Emitted before `free` where the connection stays open, and alone where it doesn't.
      sent.once('close', () => {
        clearTimeout(timer)
        if (socket.destroyed || socket.readableEnded) reject(new Error('the connection was closed behind its first answer'))
      })
      sent.end()
    }))
  } catch (error) {
    socket.destroy()
    return Err(error as Error)
  }
}
