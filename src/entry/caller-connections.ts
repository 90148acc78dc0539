import type { IncomingMessage, ServerResponse } from 'node:http'
import { Server as NetServer, type Server, type Socket } from 'node:net'
import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import { BodyWithoutEnd } from '../http/body-without-end.js'
import { SteppedReads } from '../http/stepped-reads.js'
import { ConnectionTable } from './connection-table.js'

/** Keep-alive timeout announced to callers, s. */
const KEEP_ALIVE = 5
const KEEP_ALIVE_SLACK = 1_000
const CLOSE_PERIOD = 50
const MS_PER_SECOND = 1_000
/** Maximum connections of one caller address, so that a single caller can't exhaust the daemon's connections. */
const MAX_PER_ADDRESS = 1_000

const TOO_MANY = [
  'HTTP/1.1 503 Service Unavailable', 'content-type: application/problem+json', 'retry-after: 1', 'connection: close', '',
  JSON.stringify({ type: 'urn:citronwheel:too-many-connections', title: 'too-many-connections', status: 503, detail: `connections: this address has ${MAX_PER_ADDRESS} open already`, ran: 'not run' })
].join('\r\n').replace('\r\n{', '\r\n\r\n{')

interface ConnectionOptions {
  /** Keep-alive timeout announced to callers, s. */
  readonly keepAlive?: number
  /** While closing: how long a connection must have been idle, ms. Defaults to 1 s more than `KEEP_ALIVE`. */
  readonly closeIdleAfter?: number
  /** Most connections, unlimited by default. Beyond, the one that has been idle for longest is closed. */
  readonly limit?: number
  /** Receives the memory of what has arrived on a connection and waits to be parsed, bytes, whenever it changes. */
  readonly onUnparsed?: (socket: Socket, bytes: number) => void
  /** Called when a connection is closed or refused because of `limit`. */
  readonly onFull?: (outcome: 'closed an idle one' | 'refused') => void
  /** Called when a connection is closed because a refused body has no end. */
  readonly onEndless?: (error: BodyWithoutEnd) => void
  /** Called when bytes are no request or come too slowly, instead of the server's own handling; it closes the connection. */
  readonly onFaulty?: (error: NodeJS.ErrnoException, socket: Socket) => void
}

/**
 * Tracks the callers' connections of one HTTP server and closes them gracefully.
 *
 * Closing an idle keep-alive connection races with a request that its caller may be sending: the request is cut without a response, and the
 * caller can't tell whether it ran. So while closing, responses carry `Connection: close`, and an idle connection is closed only once it has
 * been idle for `closeIdleAfter`, by default a little longer than the announced `Keep-Alive: timeout=5`.
 */
export class CallerConnections {
  private readonly table = new ConnectionTable<Socket>()
  private readonly unanswered = new Map<Socket, Set<IncomingMessage>>()
  private readonly reads = new WeakMap<Socket, SteppedReads>()
  /** Requests that wait for the answers to earlier ones on their connections. */
  private readonly waiting = new Map<IncomingMessage, (isOpen: boolean) => void>()
  private closing = false

  constructor (private readonly server: Server, private readonly clock: Clock, private readonly options: ConnectionOptions = {}) {
    server.on('connection', (socket: Socket) => this.add(socket))
    if (options.onFaulty !== undefined) server.on('clientError', (error, socket) => this.handleFaulty(error, socket as Socket))
  }

  get size (): number {
    return this.table.size
  }

  /** Number of requests that wait for the answers to earlier ones. */
  get waitingCount (): number {
    return this.waiting.size
  }

  /** Counts an exchange and sets its connection headers. Returns false on a refused connection, which is to be destroyed. */
  begin (req: IncomingMessage, res: ServerResponse): boolean {
    const { socket } = req
    if (!this.table.begin(socket)) return false
    if (this.closing) res.setHeader('connection', 'close')
    else res.setHeader('keep-alive', `timeout=${this.options.keepAlive ?? KEEP_ALIVE}`)
    const unanswered = this.unanswered.get(socket) ?? new Set()
    this.unanswered.set(socket, unanswered.add(req))
    res.once('close', () => this.end(req))
    return true
  }

  /**
   * Returns undefined where a request is the first one without an answer on its connection. Otherwise resolves when it is the first; to false
   * if the connection closes before. Answers to requests sent ahead would otherwise all be kept until they are read.
   */
  waitForTurn (req: IncomingMessage): Promise<boolean> | undefined {
    const unanswered = this.unanswered.get(req.socket)
    if (unanswered === undefined || getFirst(unanswered) === req) return undefined
    return new Promise(resolve => this.waiting.set(req, resolve))
  }

  /** Whether a whole request on the connection has no whole answer yet: any other answer would be taken for its own. */
  isAnswerDue (socket: Socket): boolean {
    return [...this.unanswered.get(socket) ?? []].some(({ complete }) => complete)
  }

  /** Makes each further response close its connection. */
  startClosing (): void {
    this.closing = true
  }

  /** Stops accepting connections; resolves once every exchange has ended and every connection is closed. */
  async close (): Promise<void> {
    this.startClosing()
    // `close` of an HTTP server closes idle connections at once, which is the race above; that of its base class doesn't.
    NetServer.prototype.close.call(this.server)
    while (this.table.size > 0) {
      for (const socket of this.table.listIdle(this.clock.now(), this.options.closeIdleAfter ?? KEEP_ALIVE * MS_PER_SECOND + KEEP_ALIVE_SLACK)) socket.destroy()
      await pauseFor(this.clock, CLOSE_PERIOD)
    }
  }

  private end (req: IncomingMessage): void {
    const { socket } = req
    const unanswered = this.unanswered.get(socket)
    this.table.end(socket, this.clock.now())
    unanswered?.delete(req)
    const next = getFirst(unanswered)
    if (next !== undefined) this.resolveTurn(next, true)
    else this.unanswered.delete(socket)
    this.reads.get(socket)?.continue()
  }

  private handleFaulty (error: NodeJS.ErrnoException, socket: Socket): void {
    // The head of a request ahead may be read in part. Its rest waits for the answers to earlier ones, not for its caller.
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && this.isHeld(socket)) return
    this.options.onFaulty?.(error, socket)
  }

  /** Whether no further requests are read from a connection, since one waits already. */
  private isHeld (socket: Socket): boolean {
    return (this.unanswered.get(socket)?.size ?? 0) > 1
  }

  private remove (socket: Socket): void {
    this.table.remove(socket)
    for (const req of this.unanswered.get(socket) ?? []) this.resolveTurn(req, false)
    this.unanswered.delete(socket)
  }

  private resolveTurn (req: IncomingMessage, isOpen: boolean): void {
    this.waiting.get(req)?.(isOpen)
    this.waiting.delete(req)
  }

  /** Whether another connection fits; closes an idle one to make room for it. */
  private makeRoom (): boolean {
    const { limit = Infinity, onFull } = this.options
    if (this.table.size < limit) return true
    const idle = this.table.findLongestIdle()
    onFull?.(idle === undefined ? 'refused' : 'closed an idle one')
    if (idle === undefined) return false
    this.remove(idle)
    idle.destroy()
    return true
  }

  private add (socket: Socket): void {
    const address = socket.remoteAddress ?? ''
    if (this.table.count(address) >= MAX_PER_ADDRESS || !this.makeRoom()) {
      socket.on('error', () => {})
      socket.end(TOO_MANY, () => socket.destroy())
      return
    }
    this.table.add(socket, address, this.clock.now())
    this.reads.set(socket, new SteppedReads(socket, { isHeld: () => this.isHeld(socket), onUnparsed: bytes => this.options.onUnparsed?.(socket, bytes) }))
    socket.once('close', () => this.remove(socket))
    socket.on('error', error => { if (error instanceof BodyWithoutEnd) this.options.onEndless?.(error) })
  }
}

function getFirst (requests: ReadonlySet<IncomingMessage> | undefined): IncomingMessage | undefined {
  return requests?.values().next().value
}
