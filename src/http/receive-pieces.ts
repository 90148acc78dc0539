import type { IncomingMessage } from 'node:http'
import { readTurns } from './read-turns.js'

/** Pieces after which a connection waits for its next turn. */
const PIECES_PER_TURN = 500

/**
 * Calls `receive` with each piece of a body as it is parsed, so that none waits in the message's own buffer, where it costs some hundred bytes
 * besides its own. Replaces an earlier receiver. If it returns false, nothing is read until `req.socket.resume()`.
 *
 * @example
 * receivePieces(req, piece => { size += piece.length; return true })
 */
export function receivePieces (req: IncomingMessage, receive: (piece: Buffer) => boolean): void {
  const push = Object.getPrototypeOf(req).push as IncomingMessage['push']
  let pieces = 0
  const resume = (): void => {
    pieces = 0
    if (!req.complete) req.socket?.resume()
  }
  req.push = (piece: Buffer | null) => {
    if (piece === null) return push.call(req, null)
    if (!receive(piece)) return false
    pieces++
    if (pieces === PIECES_PER_TURN) readTurns.wait(resume)
    return pieces < PIECES_PER_TURN
  }
  // Its end is emitted only while it flows.
  req.resume()
}
