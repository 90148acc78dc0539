/**
 * Bounds the memory of uploads: bodies in memory at once have at most `limit` bytes in total. A body is held whole
 * while it is checked, since a file is stored completely or not at all. An upload that doesn't fit is refused at
 * once; one that is larger than the limit fits only while there is no other.
 */
export class UploadBudget {
  private used = 0

  constructor (private readonly limit: number) {}

  /** Reserves memory and returns a function that releases it, or undefined if there is not enough. */
  reserve (bytes: number): (() => void) | undefined {
    if (this.used > 0 && this.used + bytes > this.limit) return undefined
    this.used += bytes
    return () => { this.used -= bytes }
  }
}
