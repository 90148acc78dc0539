import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { MemoryBudget } from '../kernel/memory/memory-budget.js'
import type { MemoryHold } from '../kernel/memory/memory-hold.js'
import { RequestMemory } from './request-memory.js'

/** Memory of a request besides its headers and body, bytes. */
const REQUEST_OVERHEAD = 8_192

/** The memory that callers' connections hold, each for all of its requests that have no whole answer. */
export class ConnectionMemory {
  private readonly holds = new WeakMap<Socket, MemoryHold>()
  private readonly unparsed = new WeakMap<Socket, number>()

  constructor (private readonly budget: MemoryBudget) {}

  /** Takes the memory of a request that has arrived; undefined where there is no room for it. */
  begin ({ socket, rawHeaders }: IncomingMessage): RequestMemory | undefined {
    const memory = new RequestMemory(this.holds.get(socket) ?? this.open(socket), () => socket.destroy())
    const headers = rawHeaders.reduce((sum, text) => sum + text.length, 0)
    return memory.grow(REQUEST_OVERHEAD + headers) ? memory : undefined
  }

  /** Sets the memory of what waits to be parsed on a connection, bytes; closes it where there is no room for that. */
  setUnparsed (socket: Socket, bytes: number): void {
    const before = this.unparsed.get(socket) ?? 0
    const hold = this.holds.get(socket) ?? this.open(socket)
    this.unparsed.set(socket, bytes)
    if (bytes <= before) hold.shrink(before - bytes)
    else if (!hold.grow(bytes - before)) socket.destroy()
  }

  private open (socket: Socket): MemoryHold {
    const hold = this.budget.open('connections', () => socket.destroy())
    this.holds.set(socket, hold)
    socket.once('close', () => hold.release())
    return hold
  }
}
