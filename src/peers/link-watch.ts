/** Times in ms. */
interface LinkWatchOptions {
  /** Time without received bytes after which the next message carries a ping. */
  readonly probeAfter?: number
  /** Time after a ping within which any bytes must arrive. */
  readonly answerWithin?: number
  /** Time without traffic after which the link is closed. */
  readonly idleAfter?: number
}

/**
 * Detects half-open connections. A network device between two daemons can lose the state of a connection: both ends stay open,
 * writes succeed and nothing arrives. So the first message after `probeAfter` ms without received bytes carries a ping. If
 * nothing arrives within `answerWithin` ms of it, the link counts as silent and is closed, and the next message opens a new
 * one. Whether the peer itself is alive is decided by the membership.
 */
export class LinkWatch {
  private receivedAt: number
  private usedAt: number
  private pingedAt: number | undefined
  private readonly options: Required<LinkWatchOptions>

  constructor (now: number, { probeAfter = 1_000, answerWithin = 1_500, idleAfter = 60_000 }: LinkWatchOptions = {}) {
    this.options = { probeAfter, answerWithin, idleAfter }
    this.receivedAt = this.usedAt = now
  }

  onReceive (now: number): void {
    this.receivedAt = this.usedAt = now
    this.pingedAt = undefined
  }

  /** Records a send. Returns whether the message must carry a ping. */
  onSend (now: number): boolean {
    this.usedAt = now
    if (this.pingedAt !== undefined || now - this.receivedAt < this.options.probeAfter) return false
    this.pingedAt = now
    return true
  }

  /** Returns the time without traffic, ms. */
  getIdleTime (now: number): number {
    return now - this.usedAt
  }

  check (now: number): 'open' | 'silent' | 'idle' {
    if (this.pingedAt !== undefined && now - this.pingedAt >= this.options.answerWithin) return 'silent'
    return now - this.usedAt >= this.options.idleAfter ? 'idle' : 'open'
  }
}
