import type { Socket } from 'node:net'
import { blockPool } from './block-pool.js'
import { readTurns } from './read-turns.js'

/** Bytes that the parser gets at a time; it parses them to their end, however many requests they hold. */
const STEP = 1_024
/** Number of bytes up to which what is left is kept in memory of its own instead of a block. */
const SMALL_REST = 8_192

interface SteppedReadsOptions {
  /** Whether nothing is to be handed on. */
  readonly isHeld: () => boolean
  /** Receives the memory that is taken by what is left after a read, bytes, 0 once nothing is. */
  readonly onUnparsed?: (bytes: number) => void
}

/**
 * Hands what a connection of an HTTP server receives to the parser in small steps, and nothing while it is held back or paused. The server's
 * own reads are of 64 kB, in which a client may send thousands of requests.
 */
export class SteppedReads {
  private rest: Buffer = Buffer.alloc(0)
  /** The block that `rest` is in, if any. */
  private block: Buffer | undefined
  /** Number of bytes that `onUnparsed` received last. */
  private reported = 0
  private isStepping = false
  private isWaiting = false
  private readonly push: Socket['push']

  constructor (private readonly socket: Socket, private readonly options: SteppedReadsOptions) {
    this.push = socket.push.bind(socket)
    const read = socket._read.bind(socket)
    // What is left comes first.
    socket._read = size => { if (this.rest.length === 0) read(size) }
    socket.push = (bytes, encoding) => bytes === null ? this.push(null) : this.receive(bytes, encoding)
    // With a listener of its own, the bytes pass through the stream instead of going to the parser directly.
    socket.on('data', () => {})
    socket.on('resume', () => this.continue())
    socket.once('close', () => this.keepRest(Buffer.alloc(0)))
  }

  /** Goes on, in a turn of its own, after `isHeld` has changed. */
  continue (): void {
    if (this.rest.length === 0 || this.isStepping || this.isWaiting) return
    this.isWaiting = true
    readTurns.wait(() => {
      this.isWaiting = false
      if (!this.isStopped() && this.step()) this.socket.read(0)
    })
  }

  private receive (bytes: Buffer, encoding?: BufferEncoding): boolean {
    const isHeld = this.options.isHeld()
    if (!isHeld && bytes.length <= STEP && this.rest.length === 0) return this.push(bytes, encoding)
    this.rest = this.rest.length === 0 ? bytes : Buffer.concat([this.rest, bytes])
    if (!isHeld) return this.step()
    this.keepRest(this.rest)
    return false
  }

  /** Hands on what is left until it is held back; returns whether nothing is left. */
  private step (): boolean {
    this.isStepping = true
    let isRead = true
    do {
      const bytes = this.readStep()
      isRead = this.push(bytes)
    } while (this.rest.length > 0 && !this.isStopped())
    this.isStepping = false
    this.keepRest(this.rest)
    return isRead && this.rest.length === 0
  }

  /** Returns the next step. What receives it may keep it, so that it is no part of a block. */
  private readStep (): Buffer {
    const bytes = this.rest.subarray(0, STEP)
    this.rest = this.rest.subarray(STEP)
    return this.block === undefined ? bytes : Buffer.from(bytes)
  }

  /** Copies what is left out of the buffer of its read, of 64 kB, which would else be kept for as long as it waits, and be freed late. */
  private keepRest (rest: Buffer): void {
    const block = this.block
    const isPooled = rest.length > SMALL_REST && rest.length <= blockPool.maxLength
    if (!isPooled) {
      this.rest = Buffer.from(rest)
      this.block = undefined
    } else if (rest.buffer !== block?.buffer) {
      this.block = blockPool.take(blockPool.maxLength)
      rest.copy(this.block)
      this.rest = this.block.subarray(0, rest.length)
    }
    if (block !== undefined && block !== this.block) blockPool.give(block)
    this.reportUnparsed(this.block?.length ?? this.rest.length)
  }

  private reportUnparsed (bytes: number): void {
    if (bytes !== this.reported) this.options.onUnparsed?.(bytes)
    this.reported = bytes
  }

  private isStopped (): boolean {
    return this.socket.destroyed || this.socket.isPaused() || this.options.isHeld()
  }
}
