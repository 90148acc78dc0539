import { randomBytes } from 'node:crypto'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { listen } from '../http/listen.js'
import type { Clock } from '../kernel/clock.js'
import { Extensions } from '../kernel/extensions.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import { planConnections } from '../kernel/plan-connections.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { Timeline } from '../observe/timeline/timeline.js'
import { Link } from './link.js'
import { PeerAddresses } from './peer-addresses.js'
import { peerHandlerPoint } from './peer-handler-point.js'
import type { PeerMessage } from './peer-message.js'
import { Session } from './session.js'

const NONCE_BYTES = 16
/** Period of the checks for silent, idle and unauthenticated links, ms. */
const CHECK_PERIOD = 250
/** Time allowed for the handshake, ms. */
const HANDSHAKE_TIMEOUT = 2_000
/** Limit on connections whose peer has not authenticated. */
const MAX_UNAUTHENTICATED = 512
/** A link with traffic within this time counts as in use, ms. */
const RECENT_USE = 5_000
/** Reasons for which this daemon itself closes a link. */
const LOCAL_REASONS: readonly string[] = ['idle', 'silent', 'shut down', 'no handshake']

/**
 * Sends messages between daemons over TCP. One link serves both directions; it is opened on first use and closed when idle.
 * Messages wait in a bounded queue while a link is being opened or the peer is slow.
 */
@scoped(Lifecycle.ContainerScoped)
export class PeerLinks implements Part {
  /** The port in use; 0 until started. */
  port = 0
  private readonly server: Server
  /** By peer: the link for sending, authenticated or being opened. */
  private readonly sendLinks = new Map<string, Link>()
  private readonly unauthenticated = new Map<Link, number>()
  private readonly all = new Set<Link>()
  private readonly closeListeners = new Set<(peer: string) => void>()
  private cancel = (): void => {}

  constructor (
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(PeerAddresses) private readonly addresses: PeerAddresses,
    @inject(Metrics) private readonly metrics: Metrics,
    @inject(Extensions) private readonly registeredExtensions: Extensions
  ) {
    const maxUnauthenticated = Math.min(MAX_UNAUTHENTICATED, planConnections(settings.descriptors).peers)
    this.server = createServer(socket => {
      if (this.unauthenticated.size >= maxUnauthenticated) this.refuse(socket)
      else this.add(new Link(socket, this.createSession(), this.listener))
    })
    metrics.gauge('peer_links', () => this.all.size)
  }

  async start (): Promise<void> {
    this.port = await listen(this.server, this.settings.listen.host, this.settings.listen.peerPort)
    this.cancel = this.clock.every(CHECK_PERIOD, () => this.check())
  }

  async stop (): Promise<void> {
    this.cancel()
    this.server.close()
    for (const link of this.all) link.close('shut down')
  }

  /**
   * Sends a message without waiting. It is lost if the peer can't be reached, which senders must allow for. While it waits for
   * a slow peer, a newer message with the same `topic` replaces it.
   */
  send (to: string, message: PeerMessage, topic?: string): void {
    const link = this.sendLinks.get(to) ?? this.open(to)
    link?.send(message, topic)
  }

  /** Calls `listener` with the peer of each link that closes while in use, unless this daemon closed it. */
  subscribeClosed (listener: (peer: string) => void): void {
    this.closeListeners.add(listener)
  }

  /**
   * Returns the session for sending to `to`, or undefined until it is authenticated. When the session has changed since an
   * earlier message, that message may be lost.
   */
  findSession (to: string): Pick<Session, 'agreedVersion'> | undefined {
    const link = this.sendLinks.get(to)
    return link?.peer === undefined ? undefined : link.session
  }

  private refuse (socket: Socket): void {
    socket.destroy()
    this.metrics.count('peer_links_refused_total')
    this.log.write('warn', 'peers', 'has as many connections as it may whose peers have not authenticated', { connections: this.unauthenticated.size })
  }

  private open (to: string): Link | undefined {
    const address = this.addresses.find(to)
    if (address === undefined) return undefined
    const link = new Link(connect(address.port, address.host), this.createSession(to), this.listener)
    this.sendLinks.set(to, link)
    this.add(link)
    link.open()
    return link
  }

  private add (link: Link): void {
    this.all.add(link)
    this.unauthenticated.set(link, this.clock.now())
  }

  private createSession (to?: string): Session {
    return new Session({ self: this.settings.instance, secret: this.settings.peerKey, nonce: randomBytes(NONCE_BYTES), to })
  }

  private check (): void {
    const now = this.clock.now()
    for (const link of [...this.all]) link.check(now)
    for (const [link, since] of [...this.unauthenticated]) {
      if (now - since >= HANDSHAKE_TIMEOUT) link.close('no handshake')
    }
  }

  private readonly listener = {
    onAuthenticated: (link: Link): void => {
      this.unauthenticated.delete(link)
      if (this.sendLinks.get(link.peer!)?.peer === undefined) this.sendLinks.set(link.peer!, link)
    },
    onMessage: (message: PeerMessage, time: number, from: string): void => {
      this.timeline.observe(time)
      this.dispatch(message, from)
    },
    onClose: (link: Link, reason: string): void => this.remove(link, reason),
    onDrop: (count: number): void => this.metrics.count('peer_messages_dropped_total', {}, count),
    onBytes: (direction: string, type: string, count: number): void => this.metrics.count('peer_bytes_total', { direction, type }, count),
    tick: (): number => this.timeline.tick(),
    now: (): number => this.clock.now()
  }

  /**
   * Passes a message to its handlers. An exception, such as on a message of a newer version, is logged and stops neither the
   * daemon nor the other handlers.
   */
  dispatch (message: PeerMessage, from: string): void {
    for (const handler of this.registeredExtensions.collect(peerHandlerPoint)) {
      if (handler.type !== message.type) continue
      try {
        handler.handle(message, from)
      } catch (error) {
        this.log.write('error', 'peers', 'message handler failed', { type: message.type, from, error: (error as Error).stack })
      }
    }
  }

  private remove (link: Link, reason: string): void {
    this.all.delete(link)
    this.unauthenticated.delete(link)
    for (const [peer, known] of this.sendLinks) if (known === link) this.sendLinks.delete(peer)
    if (link.peer !== undefined && link.idleTime < RECENT_USE && !LOCAL_REASONS.includes(reason)) for (const listener of this.closeListeners) listener(link.peer)
    if (reason === 'silent') this.metrics.count('peer_links_silent_total')
    const usual = reason === 'idle' || reason === 'closed by the peer' || reason === 'shut down'
    this.log.write(usual ? 'debug' : 'warn', 'peers', 'closed a connection', { peer: link.peer, reason })
  }
}

partRegistry.register({ name: 'peer links', part: PeerLinks, needs: ['peer addresses'] })
