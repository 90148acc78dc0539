import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

const HEAD_END = '\r\n\r\n'
const REQUEST_LINE = /^[A-Z]+ (\/[!-~]*|\*) HTTP\/1\.1$/
const HEADER = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[ \t]*[\t\x20-\x7e\x80-\xff]*$/
const REFUSAL = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'
const MAX_BYTES_SHOWN = 60

/** A request with a complete header. `read` counts the bytes of its body so far; `handed` resolves once the whole body was read. */
export interface StrictRequest {
  readonly connection: number
  readonly line: string
  readonly headers: ReadonlyMap<string, string>
  readonly length: number
  readonly socket: Socket
  readonly handed: Promise<void>
  read: number
}

interface PendingBody { readonly request: StrictRequest, readonly finish: () => void }

/** A connection with its bytes that aren't parsed yet, and the body that is being read. */
interface Connection { readonly number: number, readonly socket: Socket, buffered: Buffer, body?: PendingBody }

/**
 * A TCP server that parses HTTP/1.1 requests on kept-alive connections strictly: `violations` lists all bytes that are neither
 * a request line, a header nor the announced body. A body must repeat the one character given by its `x-fill` header. `answer`
 * is called at the end of each header, before the body is read.
 */
export class StrictServer {
  readonly requests: StrictRequest[] = []
  readonly violations: string[] = []
  private readonly sockets = new Set<Socket>()
  private connections = 0

  private constructor (private readonly server: Server, readonly port: number, private readonly answer: (request: StrictRequest) => void) {
    server.on('connection', socket => this.accept(socket))
  }

  static async start (answer: (request: StrictRequest) => void, port = 0): Promise<StrictServer> {
    const server = createServer()
    server.listen(port, '127.0.0.1')
    await once(server, 'listening')
    return new StrictServer(server, (server.address() as AddressInfo).port, answer)
  }

  /** Stops listening and resets open connections; resolves once the port is free. */
  async close (): Promise<void> {
    if (!this.server.listening) return
    const closed = once(this.server, 'close')
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
    await closed
  }

  private accept (socket: Socket): void {
    const connection: Connection = { number: this.connections++, socket, buffered: Buffer.alloc(0) }
    this.sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('data', bytes => {
      connection.buffered = Buffer.concat([connection.buffered, bytes])
      while (!socket.destroyed && this.readNext(connection)) continue
    })
  }

  /** Parses the next header or piece of a body; returns whether the buffer may hold another. */
  private readNext (connection: Connection): boolean {
    const { buffered, body } = connection
    if (body !== undefined) {
      connection.buffered = this.readBody(body, buffered)
      if (body.request.read === body.request.length) connection.body = undefined
      return connection.buffered.length > 0
    }
    const end = buffered.indexOf(HEAD_END)
    if (end < 0) return false
    connection.buffered = buffered.subarray(end + HEAD_END.length)
    connection.body = this.readHead(connection, buffered.toString('latin1', 0, end))
    return connection.buffered.length > 0
  }

  private readBody ({ request, finish }: PendingBody, bytes: Buffer): Buffer {
    const part = bytes.subarray(0, request.length - request.read)
    if (!part.equals(Buffer.alloc(part.length, request.headers.get('x-fill') ?? ''))) this.violations.push(`other bytes in a body: ${showBytes(part)}`)
    request.read += part.length
    if (request.read === request.length) finish()
    return bytes.subarray(part.length)
  }

  private readHead ({ number, socket }: Connection, head: string): PendingBody | undefined {
    const [line = '', ...fields] = head.split('\r\n')
    const bad = REQUEST_LINE.test(line) ? fields.find(field => !HEADER.test(field)) : line
    if (bad !== undefined) {
      this.violations.push(`bad ${bad === line ? 'request line' : 'header'}: ${showBytes(Buffer.from(bad, 'latin1'))}`)
      socket.end(REFUSAL)
      return undefined
    }
    const headers = new Map(fields.map(readField))
    const length = Number(headers.get('content-length') ?? 0)
    let finish = (): void => {}
    const handed = new Promise<void>(resolve => { finish = resolve })
    const request: StrictRequest = { connection: number, line, headers, length, socket, handed, read: 0 }
    if (length === 0) finish()
    this.requests.push(request)
    this.answer(request)
    return length === 0 ? undefined : { request, finish }
  }
}

function readField (field: string): readonly [string, string] {
  const colon = field.indexOf(':')
  return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()]
}

function showBytes (bytes: Buffer): string {
  return JSON.stringify(bytes.toString('latin1', 0, MAX_BYTES_SHOWN))
}
