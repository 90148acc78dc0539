import type { buildConnector } from 'undici'

/** Time in which a server that doesn't wait for the body of a request begins its answer, ms, besides the round trip. */
const ANSWER_TIME = 2
/** Hold time above which opening another connection is cheaper, ms. */
const MAX_HOLD_TIME = 20

interface Origin { readonly usedAt: number, readonly roundTrip: number }

/** Plans for which requests a connection may be used again, from earlier requests to the same origin and the times to connect to it. */
export class OriginUse {
  private readonly origins = new Map<string, Origin>()

  /** `keep` is how long an idle connection stays open, ms; `readTime` returns monotonic ms. */
  constructor (private readonly keep: number, private readonly readTime: () => number = () => performance.now()) {}

  /**
   * Records a request at `now`, monotonic ms. Returns a function that returns how long to hold back the last byte of its body (see
   * `HeldBody`), ms, once it has a connection; undefined if another request on its connection is unlikely.
   */
  planHold (origin: string, now: number): () => number | undefined {
    const { usedAt = -Infinity, roundTrip = Infinity } = this.origins.get(origin) ?? {}
    this.origins.delete(origin)
    this.origins.set(origin, { usedAt: now, roundTrip })
    this.dropUnused(now)
    return () => now - usedAt < this.keep ? this.getHoldTime(origin) : undefined
  }

  /** Returns a connector that records the shortest time to connect to each origin. */
  measure (connect: buildConnector.connector): buildConnector.connector {
    return (options, callback) => {
      const began = this.readTime()
      connect(options, (...[error, socket]: Parameters<buildConnector.Callback>) => {
        if (error === null) this.recordRoundTrip(`${options.protocol}//${options.host}`, this.readTime() - began)
        callback(...[error, socket] as Parameters<buildConnector.Callback>)
      })
    }
  }

  private getHoldTime (origin: string): number | undefined {
    const holdTime = (this.origins.get(origin)?.roundTrip ?? Infinity) + ANSWER_TIME
    return holdTime <= MAX_HOLD_TIME ? holdTime : undefined
  }

  private recordRoundTrip (origin: string, time: number): void {
    const known = this.origins.get(origin)
    if (known !== undefined) this.origins.set(origin, { ...known, roundTrip: Math.min(known.roundTrip, time) })
  }

  private dropUnused (now: number): void {
    for (const [oldest, { usedAt }] of this.origins) {
      if (now - usedAt < this.keep) return
      this.origins.delete(oldest)
    }
  }
}
