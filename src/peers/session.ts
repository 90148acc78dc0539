import { timingSafeEqual } from 'node:crypto'
import { Err, Ok, type Result } from 'ts-results'
import { encodeFrame } from './encode-frame.js'
import { frameCodec } from './frame-codec.js'
import { FrameReader } from './frame-reader.js'
import { FrameSeal } from './frame-seal.js'
import { buildSessionKeys } from './session-keys.js'
import type { SessionEvent } from './session-event.js'

const PROTOCOL_VERSION = 2
/** A newer version speaks this one too, to peers that say it; what it adds to frames is ignored. */
const OLDEST_VERSION = 2
const NONCE_BYTES = 16
/** The longest frame before the peer has proved itself. */
const HANDSHAKE_LIMIT = 256
const FRAME_LIMIT = 1_000_000

type Value = Readonly<Record<string, unknown>>

/** What a session is built from; `to` is the expected peer, where this end opened it. */
interface SessionOptions {
  readonly self: string
  readonly secret: string
  readonly nonce: Uint8Array
  readonly to?: string
}

/**
 * One end of a session between two daemons, without its socket: bytes in, events out.
 *
 * The opener sends a hello with its nonce, the acceptor answers with a nonce of its own and its proof, the opener
 * proves itself in turn. A recorded handshake is of no use, because the other end's nonce is new; each later frame is
 * sealed with the session's key and the frame's number. Unknown fields are ignored. Any error ends the session.
 */
export class Session {
  /** The peer's name once it has proved itself. */
  peer: string | undefined
  private readonly reader = new FrameReader(HANDSHAKE_LIMIT)
  private outgoing: FrameSeal | undefined
  private incoming: FrameSeal | undefined
  private expected: { readonly peer: string, readonly proof: Buffer } | undefined

  constructor (private readonly options: SessionOptions) {}

  /** The first bytes of the end that opens. */
  open (): Buffer {
    return encodeFrame(frameCodec.encode({ v: PROTOCOL_VERSION, from: this.options.self, nonce: this.options.nonce }))
  }

  /** One value, sealed. Only once the peer is proven. */
  seal (value: Value): Buffer {
    const body = frameCodec.encode(value)
    return encodeFrame(this.outgoing!.create(body), body)
  }

  receive (bytes: Uint8Array): Result<readonly SessionEvent[], string> {
    this.reader.push(bytes)
    const events: SessionEvent[] = []
    for (;;) {
      const frame = this.reader.take()
      if (frame.err) return frame
      if (frame.val === undefined) return Ok(events)
      const step = this.peer === undefined ? this.handleHandshake(frame.val) : this.openFrame(frame.val)
      if (step.err) return step
      events.push(...step.val)
    }
  }

  private openFrame (frame: Buffer): Result<readonly SessionEvent[], string> {
    const body = this.incoming!.open(frame)
    if (body === undefined) return Err('a frame has the wrong seal')
    return frameCodec.decode(body).map(value => [{ type: 'value', value }])
  }

  private handleHandshake (frame: Buffer): Result<readonly SessionEvent[], string> {
    const decoded = frameCodec.decode(frame)
    if (decoded.err) return decoded
    if (this.expected !== undefined) return this.settleProof(decoded.val)
    const { v, from, nonce } = decoded.val
    if (typeof v !== 'number' || v < OLDEST_VERSION) return Err(`the peer speaks version ${String(v)}, we need ${OLDEST_VERSION}`)
    if (typeof from !== 'string' || !(nonce instanceof Uint8Array) || nonce.length !== NONCE_BYTES) return Err('a handshake lacks its name or nonce')
    return this.options.to === undefined ? this.acceptHello(from, nonce) : this.acceptAnswer(from, nonce, decoded.val)
  }

  private acceptHello (from: string, nonce: Uint8Array): Result<readonly SessionEvent[], string> {
    const { self, secret, nonce: own } = this.options
    const keys = buildSessionKeys(secret, { opener: from, acceptor: self, openerNonce: nonce, acceptorNonce: own })
    this.expected = { peer: from, proof: keys.openerProof }
    this.outgoing = new FrameSeal(keys.acceptorKey)
    this.incoming = new FrameSeal(keys.openerKey)
    const answer = { v: PROTOCOL_VERSION, from: self, nonce: own, proof: keys.acceptorProof }
    return Ok([{ type: 'send', bytes: encodeFrame(frameCodec.encode(answer)) }])
  }

  private acceptAnswer (from: string, nonce: Uint8Array, { proof }: Value): Result<readonly SessionEvent[], string> {
    const { self, secret, nonce: own, to } = this.options
    if (from !== to) return Err(`${from} answers at the address of ${String(to)}`)
    const keys = buildSessionKeys(secret, { opener: self, acceptor: from, openerNonce: own, acceptorNonce: nonce })
    if (!isSame(proof, keys.acceptorProof)) return Err('the peer key is wrong')
    this.outgoing = new FrameSeal(keys.openerKey)
    this.incoming = new FrameSeal(keys.acceptorKey)
    const sent: SessionEvent = { type: 'send', bytes: encodeFrame(frameCodec.encode({ proof: keys.openerProof })) }
    return Ok([sent, this.recordPeer(from)])
  }

  private settleProof ({ proof }: Value): Result<readonly SessionEvent[], string> {
    if (!isSame(proof, this.expected!.proof)) return Err('the peer key is wrong')
    return Ok([this.recordPeer(this.expected!.peer)])
  }

  private recordPeer (peer: string): SessionEvent {
    this.peer = peer
    this.reader.limit = FRAME_LIMIT
    return { type: 'proven', peer }
  }
}

function isSame (proof: unknown, expected: Buffer): boolean {
  return proof instanceof Uint8Array && proof.length === expected.length && timingSafeEqual(proof, expected)
}
