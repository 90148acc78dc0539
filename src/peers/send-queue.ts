import type { PeerMessage } from './peer-message.js'

interface Entry { readonly topic: string | undefined, readonly message: PeerMessage }

/**
 * Messages waiting for a peer that is slow or not connected yet, at most `limit`. A newer message replaces a waiting
 * one of its topic, whose news it supersedes; when the queue is full the oldest goes. A slow peer then costs a bounded
 * amount of memory, and what it gets in the end is the newest.
 */
export class SendQueue {
  private entries: Entry[] = []

  constructor (private readonly limit = 256) {}

  get length (): number {
    return this.entries.length
  }

  /** Adds a message; gives back how many others it pushed out. */
  add (message: PeerMessage, topic?: string): number {
    const before = this.entries.length
    if (topic !== undefined) this.entries = this.entries.filter(entry => entry.topic !== topic)
    this.entries.push({ topic, message })
    if (this.entries.length > this.limit) this.entries.shift()
    return before + 1 - this.entries.length
  }

  take (): PeerMessage | undefined {
    return this.entries.shift()?.message
  }
}
