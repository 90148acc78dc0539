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
}

interface Answer {
  readonly status: number
  readonly body: Buffer
  /** Whether the connection carries other requests after that. */
  readonly isOpen: boolean
}

/**
 * Sends a request as the first one on a connection and reads the answer. If there is no whole answer, or the peer closes the connection
 * behind it, the connection is destroyed.
 *
 * @example
 * const answer = await askOnConnection(socket, { path: '/health', host: '10.0.0.2:80', timeout: 1_000, maxBody: 10_000 })
 */
export async function askOnConnection (socket: Socket, { path, host, timeout, maxBody }: Question): Promise<Result<Answer, Error>> {
  try {
    return Ok(await new Promise<Answer>((resolve, reject) => {
      let finish = (_isOpen: boolean): void => reject(new Error('the connection was closed without an answer'))
      const sent = request({ createConnection: () => socket, path, headers: { host, connection: 'keep-alive' } }, answer => {
        const reading = readBody(answer, maxBody)
        finish = isOpen => {
          void reading.then(body => body.ok ? resolve({ status: answer.statusCode!, body: body.val, isOpen }) : reject(new Error(`the first answer on a connection was ${body.val}`)))
        }
        socket.once('free', () => {
          socket.pause()
          finish(true)
        })
      })
      const timer = setTimeout(() => sent.destroy(new Error(`no answer on a new connection within ${timeout} ms`)), timeout)
      sent.once('error', reject)
      // Emitted before `free` where the connection stays open, and alone where it doesn't.
      sent.once('close', () => {
        clearTimeout(timer)
        if (!socket.destroyed && !socket.readableEnded) return
        socket.destroy()
        finish(false)
      })
      sent.end()
    }))
  } catch (error) {
    socket.destroy()
    return Err(error as Error)
  }
}
