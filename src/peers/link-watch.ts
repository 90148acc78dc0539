/** Times in ms. */
interface LinkWatchOptions {
  /** Silence after which something sent asks for a sign of life with it. */
  readonly probeAfter?: number
  /** How long that sign may take. */
  readonly answerWithin?: number
  /** An unused link is closed after this. */
  readonly idleAfter?: number
}

/**
 * Tells a silent connection from a quiet one. Something between two daemons can lose track of a connection: both ends
 * stay open, writes succeed and nothing arrives, for good. So the first message after `probeAfter` ms without a byte
 * from the peer goes with a ping; without any byte in `answerWithin` ms after it the link counts as silent and is closed, and the
 * next message opens a new one, which works. Whether the peer itself is dead is for the membership to say.
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

  /** Whether a ping must go with what is sent now. */
  onSend (now: number): boolean {
    this.usedAt = now
    if (this.pingedAt !== undefined || now - this.receivedAt < this.options.probeAfter) return false
    this.pingedAt = now
    return true
  }

  /** How long nothing has come or gone. */
  getIdleTime (now: number): number {
    return now - this.usedAt
  }

  check (now: number): 'open' | 'silent' | 'idle' {
    if (this.pingedAt !== undefined && now - this.pingedAt >= this.options.answerWithin) return 'silent'
    return now - this.usedAt >= this.options.idleAfter ? 'idle' : 'open'
  }
}
