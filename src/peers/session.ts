import { timingSafeEqual } from 'node:crypto'
import { Err, Ok, type Result } from 'ts-results'
import { encodeFrame } from './encode-frame.js'
import type { FrameCodec } from './frame-codec.js'
import { FrameReader } from './frame-reader.js'
import { FrameAuthenticator } from './frame-authenticator.js'
import { FrameTimeCodec } from './frame-time-codec.js'
import { plainCodec } from './plain-codec.js'
import { buildSessionKeys } from './session-keys.js'
import type { SessionEvent } from './session-event.js'
import { shortCodec } from './short-codec.js'

/** From this version on, frames have short field names, short tags and delta-encoded times. */
const COMPACT_VERSION = 3
/** From version 4 on, daemons accept packed objects. */
const PROTOCOL_VERSION = 4
/** Oldest supported version. Both ends use the older of their versions and ignore unknown fields. */
const OLDEST_VERSION = 2
const NONCE_BYTES = 16
/** Limit on frames from a peer that has not authenticated. */
const MAX_HANDSHAKE_BYTES = 256
const MAX_FRAME_BYTES = 1_000_000

type Value = Readonly<Record<string, unknown>>

/** Options of a session. `to` is the expected peer, set at the end that opens it. */
interface SessionOptions {
  readonly self: string
  readonly secret: string
  readonly nonce: Uint8Array
  readonly to?: string
  /** Newest version that this end supports; the current one by default. */
  readonly version?: number
}

/**
 * One end of a session between two daemons, without its socket: bytes in, events out.
 *
 * The opener sends a hello with its nonce, the acceptor answers with its own nonce and its proof, and the opener sends its
 * proof in turn. A replayed handshake fails because the nonce of the other end is new. Each later frame carries a tag that
 * authenticates its body and its sequence number with a key of the session. Unknown fields are ignored. Any error ends the
 * session.
 */
export class Session {
  /** The name of the peer, once it has authenticated. */
  peer: string | undefined
  /** The version in use; 0 until the peer has sent its own. */
  agreedVersion = 0
  private readonly reader = new FrameReader(MAX_HANDSHAKE_BYTES)
  private outgoing: FrameAuthenticator | undefined
  private incoming: FrameAuthenticator | undefined
  private codec: FrameCodec = plainCodec
  private times: { readonly out: FrameTimeCodec, readonly in: FrameTimeCodec } | undefined
  private expected: { readonly peer: string, readonly proof: Buffer } | undefined

  constructor (private readonly options: SessionOptions) {}

  /** Returns the hello, which the opener sends first. */
  open (): Buffer {
    return encodeFrame(plainCodec.encode({ v: this.version, from: this.options.self, nonce: this.options.nonce }))
  }

  /** Encodes a value as an authenticated frame. The peer must have authenticated. */
  seal (value: Value): Buffer {
    const { t } = value
    const body = this.codec.encode(this.times === undefined || typeof t !== 'number' ? value : { ...value, t: this.times.out.encode(t) })
    return encodeFrame(this.outgoing!.createTag(body), body)
  }

  receive (bytes: Uint8Array): Result<readonly SessionEvent[], string> {
    this.reader.push(bytes)
    const events: SessionEvent[] = []
    for (;;) {
      const frame = this.reader.take()
      if (frame.err) return frame
      if (frame.val === undefined) return Ok(events)
      const step = this.peer === undefined ? this.handleHandshake(frame.val) : this.verifyFrame(frame.val)
      if (step.err) return step
      events.push(...step.val)
    }
  }

  private verifyFrame (frame: Buffer): Result<readonly SessionEvent[], string> {
    const body = this.incoming!.verify(frame)
    if (body === undefined) return Err('a frame has a wrong authentication tag')
    return this.codec.decode(body).map(value => {
      const { t } = value
      return [{ type: 'value', value: this.times === undefined || typeof t !== 'number' ? value : { ...value, t: this.times.in.decode(t) } }]
    })
  }

  private handleHandshake (frame: Buffer): Result<readonly SessionEvent[], string> {
    const decoded = plainCodec.decode(frame)
    if (decoded.err) return decoded
    if (this.expected !== undefined) return this.verifyProof(decoded.val)
    const { v, from, nonce } = decoded.val
    if (typeof v !== 'number' || v < OLDEST_VERSION) return Err(`unsupported protocol version ${String(v)}, the oldest supported one is ${OLDEST_VERSION}`)
    if (typeof from !== 'string' || !(nonce instanceof Uint8Array) || nonce.length !== NONCE_BYTES) return Err('a handshake has no name or no valid nonce')
    return this.options.to === undefined ? this.acceptHello(from, nonce, v) : this.acceptAnswer(from, nonce, decoded.val)
  }

  private get version (): number {
    return this.options.version ?? PROTOCOL_VERSION
  }

  /** Sets up authentication, codec and times for the older version of both ends. */
  private startFrames (peerVersion: number, outgoing: Uint8Array, incoming: Uint8Array): void {
    this.agreedVersion = Math.min(this.version, peerVersion)
    const short = this.agreedVersion >= COMPACT_VERSION
    this.outgoing = new FrameAuthenticator(outgoing, short ? 8 : 16)
    this.incoming = new FrameAuthenticator(incoming, short ? 8 : 16)
    if (!short) return
    this.codec = shortCodec
    this.times = { out: new FrameTimeCodec(), in: new FrameTimeCodec() }
  }

  private acceptHello (from: string, nonce: Uint8Array, version: number): Result<readonly SessionEvent[], string> {
    const { self, secret, nonce: own } = this.options
    const keys = buildSessionKeys(secret, { opener: from, acceptor: self, openerNonce: nonce, acceptorNonce: own })
    this.expected = { peer: from, proof: keys.openerProof }
    this.startFrames(version, keys.acceptorKey, keys.openerKey)
    const answer = { v: this.version, from: self, nonce: own, proof: keys.acceptorProof }
    return Ok([{ type: 'send', bytes: encodeFrame(plainCodec.encode(answer)) }])
  }

  private acceptAnswer (from: string, nonce: Uint8Array, { v, proof }: Value): Result<readonly SessionEvent[], string> {
    const { self, secret, nonce: own, to } = this.options
    if (from !== to) return Err(`${from} answers at the address of ${String(to)}`)
    const keys = buildSessionKeys(secret, { opener: self, acceptor: from, openerNonce: own, acceptorNonce: nonce })
    if (!isProofValid(proof, keys.acceptorProof)) return Err('the peer key is wrong')
    this.startFrames(v as number, keys.openerKey, keys.acceptorKey)
    const sent: SessionEvent = { type: 'send', bytes: encodeFrame(plainCodec.encode({ proof: keys.openerProof })) }
    return Ok([sent, this.authenticatePeer(from)])
  }

  private verifyProof ({ proof }: Value): Result<readonly SessionEvent[], string> {
    if (!isProofValid(proof, this.expected!.proof)) return Err('the peer key is wrong')
    return Ok([this.authenticatePeer(this.expected!.peer)])
  }

  private authenticatePeer (peer: string): SessionEvent {
    this.peer = peer
    this.reader.limit = MAX_FRAME_BYTES
    return { type: 'proven', peer }
  }
}

function isProofValid (proof: unknown, expected: Buffer): boolean {
  return proof instanceof Uint8Array && proof.length === expected.length && timingSafeEqual(proof, expected)
}
