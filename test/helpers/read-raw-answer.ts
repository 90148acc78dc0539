import { connect } from 'node:net'

/** An answer as its bytes came. */
export interface RawAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  /** Whether it ended as its framing says; with neither a length nor chunks, whether its connection was closed regularly. */
  readonly isComplete: boolean
  /** Whether a length or chunks mark its end. */
  readonly isMarked: boolean
}

const HEAD_END = '\r\n\r\n'
const LAST_CHUNK = /(^|\r\n)0\r\n\r\n$/

/** Sends a POST request on a connection of its own and reads the answer until the connection ends, as bytes, since clients differ in what they take for whole. */
export async function readRawAnswer (port: number, path: string, headers: Readonly<Record<string, string>>): Promise<RawAnswer> {
  const lines = Object.entries({ host: 'h', connection: 'close', 'content-length': '8', ...headers }).map(([name, value]) => `${name}: ${value}\r\n`)
  return await new Promise(resolve => {
    let bytes = ''
    const socket = connect(port, '127.0.0.1', () => { socket.write(`POST ${path} HTTP/1.1\r\n${lines.join('')}\r\nquestion`) })
    const settle = (isClosed: boolean): void => resolve(parse(bytes, isClosed))
    socket.on('data', part => { bytes += part.toString('latin1') })
    // The system hands over a reset that arrives together with data as a regular close; its connection has no peer then.
    socket.on('end', () => settle(socket.remotePort !== undefined))
    socket.on('error', () => settle(false))
  })
}

function parse (bytes: string, isClosed: boolean): RawAnswer {
  const end = bytes.indexOf(HEAD_END)
  const [line = '', ...fields] = bytes.slice(0, Math.max(0, end)).split('\r\n')
  const headers = Object.fromEntries(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]))
  const { 'content-length': length, 'transfer-encoding': encoding } = headers
  const rest = end < 0 ? '' : bytes.slice(end + HEAD_END.length)
  const isMarked = length !== undefined || encoding === 'chunked'
  const isComplete = end >= 0 && (length !== undefined ? rest.length === Number(length) : encoding === 'chunked' ? LAST_CHUNK.test(rest) : isClosed)
  return { status: Number(line.split(' ')[1] ?? 0), headers, body: encoding === 'chunked' ? joinChunks(rest) : rest, isComplete, isMarked }
}

function joinChunks (bytes: string): string {
  let body = ''
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    const size = parseInt(bytes.slice(at, lineEnd), 16)
    if (lineEnd < 0 || !(size > 0)) return body
    body += bytes.slice(lineEnd + 2, lineEnd + 2 + size)
    at = lineEnd + 2 + size + 2
  }
}
