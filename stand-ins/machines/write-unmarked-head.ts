import type { OutgoingHttpHeaders, ServerResponse } from 'node:http'

/** Writes the head of an answer with neither a length nor chunks, which ends with its connection. */
export function writeUnmarkedHead (res: ServerResponse, status: number, headers: OutgoingHttpHeaders): void {
  res.shouldKeepAlive = false
  res.removeHeader('content-length')
  res.removeHeader('transfer-encoding')
  res.writeHead(status, { ...headers, connection: 'close' })
}
