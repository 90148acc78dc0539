import { createServer } from 'node:net'
import { listen } from '../src/http/listen.js'

/** All blocks lie below the ports that the system assigns to outgoing connections. */
const FIRST_PORT = 12_000
const BLOCK_SIZE = 50
const BLOCK_COUNT = 400

/**
 * Assigns ports of 127.0.0.1 that no other process with an allocator assigns, even while nothing listens on them.
 *
 * An allocator owns blocks of ports. The first port of a block is a lock: its listener holds the block until the process ends.
 * Listeners on the assigned ports themselves couldn't do that: each must close before its daemon starts, and closing waits for
 * connections that other processes opened to it.
 */
export class PortAllocator {
  private free: number[] = []

  /** Returns ports on which nothing listens. They stay assigned until `release`. */
  async claim (count: number): Promise<readonly number[]> {
    const claimed: number[] = []
    while (claimed.length < count) {
      const port = this.free.shift()
      if (port === undefined) await this.addBlock()
      else if (await isUnused(port)) claimed.push(port)
    }
    return claimed
  }

  /** Lets `claim` return these ports again. */
  release (ports: readonly number[]): void {
    this.free.push(...ports)
  }

  private async addBlock (): Promise<void> {
    for (;;) {
      const first = FIRST_PORT + Math.floor(Math.random() * BLOCK_COUNT) * BLOCK_SIZE
      const lock = createServer(socket => { socket.destroy() })
      if (!await listen(lock, '127.0.0.1', first).then(() => true, () => false)) continue
      lock.unref()
      this.free.push(...Array.from({ length: BLOCK_SIZE - 1 }, (_, i) => first + 1 + i))
      return
    }
  }
}

async function isUnused (port: number): Promise<boolean> {
  const server = createServer(socket => { socket.destroy() })
  if (!await listen(server, '127.0.0.1', port).then(() => true, () => false)) return false
  await new Promise<void>(resolve => { server.close(() => resolve()) })
  return true
}
