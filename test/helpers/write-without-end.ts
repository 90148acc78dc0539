import type { Socket } from 'node:net'

/** Writes `text` again and again until the connection closes. */
export function writeWithoutEnd (socket: Socket, text: string): void {
  const write = (): void => {
    while (!socket.destroyed && socket.write(text)) continue
    if (!socket.destroyed) socket.once('drain', () => setImmediate(write))
  }
  write()
}
