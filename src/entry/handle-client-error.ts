import { STATUS_CODES } from 'node:http'
import type { Socket } from 'node:net'

interface ClientProblem { readonly status: number, readonly code: string, readonly detail: string }

/** Answers a request that the HTTP parser rejects with a problem document that names the faulty part, then closes the connection. */
export function handleClientError (error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const { status, code, detail } = readProblem(error.code)
  const body = JSON.stringify({ type: `urn:citronwheel:${code}`, title: code, status, detail, ran: 'not run', error: { message: detail, type: code, code } })
  const head = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\ncontent-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n`
  socket.end(head + body, () => socket.destroy())
}

function readProblem (code = ''): ClientProblem {
  if (code === 'HPE_HEADER_OVERFLOW') return { status: 431, code: 'headers-too-large', detail: 'headers: over the limit of 16384 bytes' }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { status: 408, code: 'too-slow', detail: 'headers or body: did not come in time' }
  return { status: 400, code: 'malformed', detail: 'request line or headers: not HTTP/1.1' }
}
