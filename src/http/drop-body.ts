import type { IncomingMessage } from 'node:http'
import { BodyWithoutEnd } from './body-without-end.js'
import { readTurns } from './read-turns.js'
import { receivePieces } from './receive-pieces.js'

/** Bytes after which a connection waits for its next turn. */
const BYTES_PER_TURN = 65_536
/** Bytes of a refused body that are read before a pause, and the pause, ms: 10 MB/s for each connection. */
const BYTES_PER_READ = 1_000_000
const PAUSE = 100
/** Bytes, pieces and time, ms, after which the connection is closed. */
const MAX_BYTES = 32_000_000
const MAX_PIECES = 100_000
const MAX_TIME = 10_000

/**
 * Reads and drops the rest of a body, because a caller whose connection is closed while it sends doesn't read the answer. A body that goes on
 * for too long closes its connection, with `BodyWithoutEnd`.
 *
 * Each chunk is memory until the garbage collector frees it. It is read at a limited rate, since a caller with a fast connection
 * would otherwise send it sooner than a busy machine collects it.
 */
export function dropBody (req: IncomingMessage): void {
  if (req.readableEnded) return
  let left = BYTES_PER_READ
  let leftInTurn = BYTES_PER_TURN
  let [bytes, pieces] = [0, 0]
  const timer = setTimeout(() => req.destroy(new BodyWithoutEnd()), MAX_TIME).unref()
  for (const event of ['end', 'close']) req.once(event, () => clearTimeout(timer))
  receivePieces(req, piece => {
    bytes += piece.length
    left -= piece.length
    if (bytes > MAX_BYTES || ++pieces > MAX_PIECES) {
      req.destroy(new BodyWithoutEnd())
      return false
    }
    leftInTurn -= piece.length
    if (left > 0 && leftInTurn > 0) return true
    leftInTurn = BYTES_PER_TURN
    if (left > 0) {
      readTurns.wait(() => { if (!req.complete) req.socket?.resume() })
      return false
    }
    left = BYTES_PER_READ
    setTimeout(() => { if (!req.complete) req.socket?.resume() }, PAUSE).unref()
    return false
  })
}
