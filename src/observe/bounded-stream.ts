import { Writable } from 'node:stream'
import { Socket } from 'node:net'

/** Lines are dropped while more than this many bytes wait to be written. */
const MAX_BUFFERED_BYTES = 262_144

/**
 * Writes lines to a file descriptor without blocking on its reader. Node writes to pipes synchronously, so a stalled reader
 * would block the event loop of the daemon. The pipe is opened as a socket instead; lines are dropped and counted while its
 * buffer is full.
 */
export class BoundedStream extends Writable {
  /** Number of lines dropped since the owner last reset it. */
  dropped = 0
  private readonly target: Writable

  constructor (descriptor: number, fallback: Writable) {
    super({ decodeStrings: false })
    this.target = openTarget(descriptor) ?? fallback
    this.target.on('error', () => { this.dropped++ })
  }

  override _write (line: string | Buffer, _encoding: string, done: () => void): void {
    if (this.target.writableLength > MAX_BUFFERED_BYTES) this.dropped++
    else this.target.write(line)
    done()
  }
}

/** Returns undefined for a regular file: it can't be opened as a socket, and has no reader to block on. */
function openTarget (descriptor: number): Writable | undefined {
  try {
    return new Socket({ fd: descriptor, readable: false, writable: true })
  } catch {
    return undefined
  }
}
