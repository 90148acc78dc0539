import { Ok, type Result } from 'ts-results'

/** The clock of a group commit: monotonic ms, and a timer that can be cancelled. */
interface CommitClock {
  now (): number
  after (delay: number, task: () => void): () => void
}

/** Options of a group commit. Times in ms; sizes in the unit of `measure`. */
interface GroupCommitOptions<T, E> {
  /** Writes a batch in one operation. `Ok` means that all of it is durable. */
  readonly write: (batch: readonly T[]) => Promise<Result<void, E>>
  /** Whether retrying is useless; writes with any other error are retried until they succeed. */
  readonly isFinal: (error: E) => boolean
  readonly clock: CommitClock
  readonly measure?: (entry: T) => number
  readonly maxEntries?: number
  readonly maxSize?: number
  /** Longest time that an entry waits for others to join its batch. */
  readonly maxWait?: number
  /** Pause after the first failed write; doubles with each further failure up to `maxPause`. */
  readonly pause?: number
  readonly maxPause?: number
}

interface Waiting<T, E> { readonly entry: T, readonly size: number, readonly since: number, readonly resolve: (result: Result<void, E>) => void }

/**
 * Writes many entries in one operation. Entries are written in the order in which they were added, one batch at a time;
 * entries added during a write go into the next one. `add` resolves when its entry is durable, or with an error that
 * makes retrying useless. Other failed writes are repeated after a growing pause. `write` must therefore be idempotent:
 * after a lost reply it receives the same entries again.
 *
 * Errors: only those that `isFinal` accepts reach the callers of `add`; others show as a growing `waiting`.
 *
 * Source: DeWitt et al., "Implementation techniques for main memory database systems", 1984.
 *
 * @example
 * const commit = new GroupCommit<string, StoreError>({ clock, isFinal: ({ type }) => type === 'invalid', write: saveLines })
 * const saved = await commit.add('a line') // Ok once it is durable
 */
export class GroupCommit<T, E> {
  private entries: Array<Waiting<T, E>> = []
  private readonly options: Required<GroupCommitOptions<T, E>>
  private writing = false
  private urgent = 0
  private failures = 0
  private pausedUntil = 0
  private cancelTimer = (): void => {}

  constructor (options: GroupCommitOptions<T, E>) {
    this.options = { measure: () => 1, maxEntries: 100, maxSize: Infinity, maxWait: 1_000, pause: 100, maxPause: 5_000, ...options }
  }

  /** Entries not yet known to be durable, and their total size. */
  get waiting (): { readonly entries: readonly T[], readonly size: number } {
    return { entries: this.entries.map(({ entry }) => entry), size: this.entries.reduce((sum, { size }) => sum + size, 0) }
  }

  /** Adds an entry; resolves with `Ok` when it is durable, or with a final error. */
  async add (entry: T): Promise<Result<void, E>> {
    return await new Promise(resolve => {
      this.entries.push({ entry, size: this.options.measure(entry), since: this.options.clock.now(), resolve })
      this.step()
    })
  }

  /** Writes the waiting entries without waiting for more. */
  flush (): void {
    this.urgent = this.entries.length
    this.step()
  }

  private step (): void {
    this.cancelTimer()
    if (this.writing || this.entries.length === 0) return
    const delay = this.findDue() - this.options.clock.now()
    if (delay <= 0) void this.run()
    else this.cancelTimer = this.options.clock.after(delay, () => this.step())
  }

  private findDue (): number {
    const { maxEntries, maxSize, maxWait } = this.options
    const full = this.urgent > 0 || this.entries.length >= maxEntries || this.waiting.size >= maxSize
    return Math.max(this.pausedUntil, full ? 0 : this.entries[0]!.since + maxWait)
  }

  private async run (): Promise<void> {
    this.writing = true
    const batch = this.takeBatch()
    const result = await this.options.write(batch.map(({ entry }) => entry))
    this.writing = false
    this.settle(batch, result)
    this.step()
  }

  private takeBatch (): ReadonlyArray<Waiting<T, E>> {
    let size = 0
    const end = this.entries.findIndex((entry, index) => {
      size += entry.size
      return index > 0 && (index >= this.options.maxEntries || size > this.options.maxSize)
    })
    return end < 0 ? [...this.entries] : this.entries.slice(0, end)
  }

  private settle (batch: ReadonlyArray<Waiting<T, E>>, result: Result<void, E>): void {
    if (result.err && !this.options.isFinal(result.val)) {
      this.pausedUntil = this.options.clock.now() + Math.min(this.options.maxPause, this.options.pause * 2 ** this.failures)
      this.failures++
      return
    }
    this.failures = 0
    this.pausedUntil = 0
    this.urgent = Math.max(0, this.urgent - batch.length)
    this.entries = this.entries.slice(batch.length)
    for (const { resolve } of batch) resolve(result.ok ? Ok(undefined) : result)
  }
}
