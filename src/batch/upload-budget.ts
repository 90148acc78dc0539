/**
 * Bounds the memory of uploads: their bytes together stay below `limit`. A body is held whole while it is checked,
 * because nothing of a file is kept unless all of it is good; without the bound a few large uploads at once take the
 * daemon's memory, and every caller's requests with it. One that finds no room is refused at once.
 */
export class UploadBudget {
  private used = 0

  constructor (private readonly limit: number) {}

  /** Reserves room; the function it gives back frees it. Undefined when there is none. */
  reserve (bytes: number): (() => void) | undefined {
    if (this.used > 0 && this.used + bytes > this.limit) return undefined
    this.used += bytes
    return () => { this.used -= bytes }
  }
}
