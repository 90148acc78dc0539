interface ReleasedPartsOptions {
  /** By how much two daemons' ends of one refusal may differ, ms. */
  readonly lateTime: number
  /** Maximum number of parts; the oldest are forgotten first. */
  readonly maxParts: number
}

/** When a part was released and until when it had been refused, monotonic ms. */
interface Release { readonly at: number, readonly until: number }

/** Parts that were released, so that late messages don't accuse them again. */
export class ReleasedParts {
  private readonly released = new Map<string, Release>()

  constructor (private readonly options: ReleasedPartsOptions) {}

  record (part: string, release: Release): void {
    this.released.set(part, release)
    if (this.released.size > this.options.maxParts) this.released.delete(this.released.keys().next().value!)
  }

  /** Returns when the part was released last; `-Infinity` if it wasn't. */
  findTime (part: string): number {
    return this.released.get(part)?.at ?? -Infinity
  }

  /** Returns until when the part had been refused, if what was released is the refusal until about `until`. */
  findEnd (part: string, until: number): number | undefined {
    const released = this.released.get(part)
    return released !== undefined && until <= released.until + this.options.lateTime ? released.until : undefined
  }
}
