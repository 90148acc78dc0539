import type { IncomingMessage } from 'node:http'

/** Bytes of a refused body that are read before a pause, and the pause, ms: 10 MB/s for each connection. */
const BYTES_PER_READ = 1_000_000
const PAUSE = 100

/**
 * Reads and drops the rest of a body, because a caller whose connection is closed while it sends doesn't read the answer.
 *
 * Each chunk is memory until the garbage collector frees it. It is read at a limited rate, since a caller with a fast connection
 * would otherwise send it sooner than a busy machine collects it.
 */
export function dropBody (req: IncomingMessage): void {
  let left = BYTES_PER_READ
  req.on('data', (chunk: Buffer) => {
    left -= chunk.length
    if (left > 0) return
    left = BYTES_PER_READ
    req.pause()
    setTimeout(() => req.resume(), PAUSE).unref()
  })
}
