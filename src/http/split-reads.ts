import type { Socket } from 'node:net'

/**
 * Hands on what a connection receives in pieces of at most `size` bytes, and nothing once it is destroyed; returns a function that ends this.
 *
 * @example
 * const stop = splitReads(socket, 4_096)
 */
export function splitReads (socket: Socket, size: number): () => void {
  const { push } = socket
  socket.push = (chunk: Buffer | null, encoding) => {
    if (chunk === null || chunk.length <= size) return push.call(socket, chunk, encoding)
    let isRead = true
    for (let at = 0; at < chunk.length && !socket.destroyed; at += size) isRead = push.call(socket, chunk.subarray(at, at + size), encoding)
    return isRead && !socket.destroyed
  }
  return () => { socket.push = push }
}
