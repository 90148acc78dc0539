/** A value with its earlier states. Times in ms, of one clock. */
export class History<T> {
  private readonly past: Array<{ readonly at: number, readonly value: T }> = []

  constructor (private readonly first: T) {}

  get latest (): T {
    return this.past.at(-1)?.value ?? this.first
  }

  put (value: T, at: number): void {
    this.past.push({ at, value })
  }

  /** Returns the value as it was at `time`. */
  readAt (time: number): T {
    return this.past.findLast(({ at }) => at <= time)?.value ?? this.first
  }
}
