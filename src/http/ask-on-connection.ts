import { request } from 'node:http'
import type { Socket } from 'node:net'
import { Err, Ok, type Result } from 'ts-results'
import { readBody } from './read-body.js'

interface Question {
  readonly path: string
  readonly host: string
  /** Longest wait for the whole answer, ms. */
  readonly timeout: number
  /** Longest body of the answer, bytes. */
  readonly maxBody: number
  /** Whether the connection is closed behind the answer; it stays open by default. */
  readonly isLast?: boolean
}

interface Answer { readonly status: number, readonly body: Buffer }

/**
 * Sends a request as the first one on a connection and reads the answer. The connection carries others after that, unless `isLast`; if there
 * is no whole answer, or the peer closes the connection behind it, it is destroyed and the call fails.
 *
 * @example
 * const answer = await askOnConnection(socket, { path: '/health', host: '10.0.0.2:80', timeout: 1_000, maxBody: 10_000 })
 */
export async function askOnConnection (socket: Socket, { path, host, timeout, maxBody, isLast = false }: Question): Promise<Result<Answer, Error>> {
  try {
    return Ok(await new Promise<Answer>((resolve, reject) => {
      const sent = request({ createConnection: () => socket, path, headers: { host, connection: isLast ? 'close' : 'keep-alive' } }, answer => {
        const reading = readBody(answer, maxBody)
        const settle = (): void => { void reading.then(body => body.ok ? resolve({ status: answer.statusCode!, body: body.val }) : reject(new Error(`the first answer on a connection was ${body.val}`))) }
        if (isLast) settle()
        else {
          socket.once('free', () => {
            socket.pause()
            settle()
          })
        }
      })
      const timer = setTimeout(() => sent.destroy(new Error(`no answer on a new connection within ${timeout} ms`)), timeout)
      sent.once('error', reject)
      // Emitted before `free` where the connection stays open, and alone where it doesn't.
      sent.once('close', () => {
        clearTimeout(timer)
        if (!isLast && (socket.destroyed || socket.readableEnded)) reject(new Error('the connection was closed behind its first answer'))
      })
      sent.end()
    }))
  } catch (error) {
    socket.destroy()
    return Err(error as Error)
  } finally {
    if (isLast) socket.destroy()
  }
}
