import type { Socket } from 'node:net'
import { LinkWatch } from './link-watch.js'
import type { PeerMessage } from './peer-message.js'
import { SendQueue } from './send-queue.js'
import type { Session } from './session.js'

/** Bytes buffered in the socket above which messages wait in the queue, where newer ones can replace them. */
const MAX_SOCKET_BUFFER = 65_536

/** Callbacks of a link. */
interface LinkListener {
  onAuthenticated (link: Link): void
  onMessage (message: PeerMessage, time: number, from: string): void
  onClose (link: Link, reason: string): void
  onDrop (count: number): void
  /** `type` is that of the message sent, `link` for a frame without a message, or `all` for received bytes. */
  onBytes (direction: 'sent' | 'received', type: string, count: number): void
  /** Returns the timestamp of the next frame. */
  tick (): number
  now (): number
}

/** A connection to one peer: a session over a socket, with a send queue and a check for silence. */
export class Link {
  private readonly queue = new SendQueue()
  private readonly watch: LinkWatch
  private closed = false
  /** Number of frames written. */
  private written = 0

  constructor (private readonly socket: Socket, readonly session: Session, private readonly listener: LinkListener) {
    this.watch = new LinkWatch(listener.now())
    socket.setNoDelay(true)
    socket.on('error', error => this.close(error.message))
    socket.on('close', () => this.close('closed by the peer'))
    socket.on('drain', () => this.flush())
    socket.on('data', bytes => this.receive(bytes))
  }

  get peer (): string | undefined {
    return this.session.peer
  }

  /** Time without traffic, ms. */
  get idleTime (): number {
    return this.watch.getIdleTime(this.listener.now())
  }

  open (): void {
    this.socket.write(this.session.open())
  }

  send (message: PeerMessage, topic?: string): void {
    const dropped = this.queue.add(message, topic)
    if (dropped > 0) this.listener.onDrop(dropped)
    this.flush()
  }

  /** Closes the link if it is silent or idle. */
  check (now: number): void {
    const state = this.watch.check(now)
    if (state !== 'open') this.close(state)
  }

  close (reason: string): void {
    if (this.closed) return
    this.closed = true
    this.socket.destroy()
    if (this.queue.length > 0) this.listener.onDrop(this.queue.length)
    this.listener.onClose(this, reason)
  }

  private flush (): void {
    while (this.queue.length > 0 && this.peer !== undefined && this.socket.writableLength < MAX_SOCKET_BUFFER) {
      this.write({ m: this.queue.take()! })
    }
  }

  private write (value: Readonly<Record<string, unknown>>): void {
    const ping = this.watch.onSend(this.listener.now()) ? { ping: true } : {}
    const frame = this.session.seal({ t: this.listener.tick(), ...ping, ...value })
    this.listener.onBytes('sent', (value.m as PeerMessage | undefined)?.type ?? 'link', frame.length)
    this.socket.write(frame)
    this.written++
  }

  private receive (bytes: Buffer): void {
    this.watch.onReceive(this.listener.now())
    this.listener.onBytes('received', 'all', bytes.length)
    const events = this.session.receive(bytes)
    if (events.err) return this.close(events.val)
    for (const event of events.val) {
      switch (event.type) {
        case 'send': this.socket.write(event.bytes); break
        case 'proven': this.listener.onAuthenticated(this); this.flush(); break
        case 'value': this.handle(event.value)
      }
    }
  }

  /** Answers a ping with an empty frame, unless a handler has just sent a frame, which serves as well. */
  private handle ({ t, ping, m }: Readonly<Record<string, unknown>>): void {
    const written = this.written
    if (typeof t === 'number' && typeof (m as PeerMessage | undefined)?.type === 'string') this.listener.onMessage(m as PeerMessage, t, this.peer!)
    if (ping === true && this.written === written) this.write({})
  }
}
