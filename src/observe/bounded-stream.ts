import { Writable } from 'node:stream'
import { Socket } from 'node:net'

/** Bytes that may wait for a slow reader before lines are left out. */
const MAX_BUFFERED_BYTES = 262_144

/**
 * Writes lines to a descriptor without ever waiting for its reader. Node writes to a pipe in the loop's own turn, so that
 * a reader that stops reading stops the daemon; its symptom is a process that answers nobody. Here the pipe is written as
 * a socket is, and lines are left out, and counted, while too much waits.
 */
export class BoundedStream extends Writable {
  /** Lines left out so far. */
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

/** A file can't be written as a socket; it never blocks for a reader either. */
function openTarget (descriptor: number): Writable | undefined {
  try {
    return new Socket({ fd: descriptor, readable: false, writable: true })
  } catch {
    return undefined
  }
}
