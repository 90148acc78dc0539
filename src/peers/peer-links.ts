import { createHmac, timingSafeEqual } from 'node:crypto'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { listen } from '../http/listen.js'
import { Extensions } from '../kernel/extensions.js'
import type { Part } from '../kernel/part.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Timeline } from '../observe/timeline.js'
import { InstanceList } from '../platform/instance-list.js'
import { encodeFrame } from './encode-frame.js'
import { FrameReader } from './frame-reader.js'
import { peerHandlerPoint } from './peer-handler-point.js'
import type { PeerMessage } from './peer-message.js'

const PROTOCOL_VERSION = 1

interface Envelope { readonly v: number, readonly from: string, readonly time: number, readonly proof?: Buffer, readonly message: PeerMessage }

/** Frames between daemons over TCP: one outgoing connection to each peer, opened when first needed. */
@scoped(Lifecycle.ContainerScoped)
export class PeerLinks implements Part {
  /** The port in use, once started. */
  port = 0
  private readonly server: Server
  private readonly outgoing = new Map<string, Socket>()
  private readonly incoming = new Set<Socket>()

  constructor (
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(InstanceList) private readonly list: InstanceList,
    @inject(Extensions) private readonly added: Extensions
  ) {
    this.server = createServer(socket => this.accept(socket))
  }

  async start (): Promise<void> {
    this.port = await listen(this.server, this.settings.listen.host, this.settings.listen.peerPort)
  }

  async stop (): Promise<void> {
    this.server.close()
    for (const socket of [...this.outgoing.values(), ...this.incoming]) socket.destroy()
  }

  /** Sends without waiting; a message to a peer that can't be reached is lost, and senders must allow for that. */
  send (to: string, message: PeerMessage): void {
    const socket = this.outgoing.get(to) ?? this.open(to)
    socket?.write(encodeFrame(this.wrap(message)))
  }

  private wrap (message: PeerMessage, proof?: Buffer): Envelope {
    return { v: PROTOCOL_VERSION, from: this.settings.instance, time: this.timeline.tick(), proof, message }
  }

  private open (to: string): Socket | undefined {
    const instance = this.list.all.find(({ name }) => name === to)
    if (instance?.peerPort === undefined) return undefined
    const socket = connect(instance.peerPort, instance.host)
    socket.setNoDelay(true)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.outgoing.get(to) === socket && this.outgoing.delete(to))
    socket.write(encodeFrame(this.wrap({ type: 'hello' }, this.prove(this.settings.instance))))
    this.outgoing.set(to, socket)
    return socket
  }

  private accept (socket: Socket): void {
    const reader = new FrameReader()
    let proven = false
    this.incoming.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.incoming.delete(socket))
    socket.on('data', bytes => {
      const frames = reader.push(bytes)
      if (frames.err) return this.reject(socket, frames.val)
      for (const frame of frames.val as Envelope[]) {
        proven ||= this.check(frame)
        if (!proven) return this.reject(socket, 'the peer key is wrong')
        this.timeline.observe(frame.time)
        this.dispatch(frame)
      }
    })
  }

  private dispatch ({ from, message }: Envelope): void {
    for (const handler of this.added.collect(peerHandlerPoint)) {
      if (handler.type === message.type) handler.handle(message, from)
    }
  }

  private prove (instance: string): Buffer {
    return createHmac('sha256', this.settings.peerKey).update(instance).digest()
  }

  private check ({ from, proof }: Envelope): boolean {
    return proof?.length === 32 && timingSafeEqual(proof, this.prove(String(from)))
  }

  private reject (socket: Socket, reason: string): void {
    this.log.write('warn', 'peers', `closed a connection: ${reason}`)
    socket.destroy()
  }
}

partRegistry.register({ name: 'peer links', part: PeerLinks, needs: ['instance list'] })
