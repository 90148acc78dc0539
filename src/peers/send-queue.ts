import type { PeerMessage } from './peer-message.js'

interface Entry { readonly topic: string | undefined, readonly message: PeerMessage }

/**
 * A queue of at most `limit` messages for a peer that is slow or not connected yet. A newer message replaces a waiting one with
 * the same topic; when the queue is full, the oldest message is dropped. This bounds the memory for a slow peer, which receives
 * the newest messages.
 */
export class SendQueue {
  private entries: Entry[] = []

  constructor (private readonly limit = 256) {}

  get length (): number {
    return this.entries.length
  }

  /** Adds a message. Returns how many others it replaced or dropped. */
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
