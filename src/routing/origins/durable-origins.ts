import type { Result } from 'ts-results'
import { GroupCommit } from '../../coordination/group-commit.js'
import type { Clock } from '../../kernel/clock.js'
import { pauseFor } from '../../kernel/pause-for.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoreError } from '../../store/store-error.js'
import { OriginStore } from './origin-store.js'
import type { OwnOrigins } from './own-origins.js'
import type { StoredOrigins } from './stored-origins.js'
import type { StreamOrigin } from './stream-origin.js'

/** How long a write may take, and the first event of a stream waits for its record, before other streams begin where they need none, ms. */
const RECORD_TIMEOUT = 250
/** How long after a failed write the next ones count as failing too, ms: the pause before the next write, and the time that it may take. */
const DOUBT_TIME = 2_000
/** Longest wait for a read by a caller that resumes a stream, ms. */
const READ_TIMEOUT = 500
/** Records of one instance in the store, and the characters of their ids; the oldest are dropped first. */
const MAX_RECORDS = 4_000
const MAX_ID_LENGTH = 300_000
/** Writes a second of the whole fleet. */
const FLEET_WRITES = 80
/** Pauses after the first and after later failed writes, ms. */
const RETRY_PAUSE = 100
const MAX_RETRY_PAUSE = 1_000

interface DurableOriginsOptions {
  readonly store: ObjectStore
  readonly clock: Clock
  readonly instance: string
  /** How long records are kept after the time of one attempt, ms. */
  readonly keep: number
  /** Returns the number of daemons. */
  readonly countDaemons: () => number
}

interface RecordTimes {
  /** Longest time of one attempt, ms. */
  readonly span?: number
  /** How long to wait for the record, ms; by default for a moment, and not at all while writes fail. */
  readonly wait?: number
}

interface DurableRecord {
  readonly origin: StreamOrigin
  readonly until: number
  /** Whether an earlier record of the stream, with another origin, may be in the store. */
  readonly isOverride: boolean
  isWritten: boolean
  /** Resolves with whether it is in the store. */
  written: Promise<boolean>
}

/**
 * What the store knows of the origins of streams. A pool may have a default version; each stream that begins at another one has a record
 * before its first event is relayed, so that a stream without a record is known to be of the default, also after all daemons have ended.
 */
export class DurableOrigins {
  /** What was last read of the defaults; undefined before the first read. */
  defaults: Pick<StoredOrigins, 'defaults' | 'withdrawn'> | undefined
  private readonly own = new Map<string, DurableRecord>()
  private idLength = 0
  /** Pools of which records were dropped, with the time until which their streams may be resumed, monotonic ms. */
  private readonly incomplete = new Map<string, number>()
  private readonly store: OriginStore
  private readonly commit: GroupCommit<string, StoreError>
  private failedAt = -Infinity
  private writingSince = Infinity
  private writtenAt = -Infinity
  private reading: Promise<unknown> = Promise.resolve()
  private nextRead: Promise<Result<StoredOrigins, StoreError>> | undefined

  constructor (private readonly options: DurableOriginsOptions) {
    this.store = new OriginStore(options.store, options.instance)
    this.commit = new GroupCommit({ write: async () => await this.write(), isFinal: ({ type }) => type === 'invalid', clock: options.clock, maxWait: 0, maxEntries: MAX_RECORDS, pause: RETRY_PAUSE, maxPause: MAX_RETRY_PAUSE })
  }

  /** Whether a record that is needed now may not be in the store in time. */
  get isInDoubt (): boolean {
    const now = this.options.clock.now()
    return now < this.failedAt + DOUBT_TIME || now > this.writingSince + RECORD_TIMEOUT
  }

  /** Whether this instance may write often enough for first events to wait for their records. */
  get isRecordedInTime (): boolean {
    return this.writePeriod <= RECORD_TIMEOUT
  }

  /** Begins to record where a stream is expected to begin, so that `record` needn't wait as long. */
  beginRecord (id: string, origin: StreamOrigin, span = 0): void {
    const former = this.own.get(id)
    if (former === undefined ? this.isDefault(origin) : isSame(former.origin, origin)) return
    const record: DurableRecord = { origin, until: this.options.clock.now() + span + this.options.keep, isOverride: former !== undefined, isWritten: false, written: Promise.resolve(false) }
    this.drop(id)
    this.own.set(id, record)
    this.idLength += id.length
    // A write may begin at once, with the records that there are.
    record.written = this.commit.add(id).then(({ ok }) => {
      record.isWritten ||= ok
      return ok
    })
  }

  /** Whether the store may show another origin of the stream until its record is written. */
  isOverride (id: string): boolean {
    const record = this.own.get(id)
    return record?.isOverride === true && !record.isWritten
  }

  /** Records where a stream began. Resolves with whether the store shows it: by its record, or by none at the default version. */
  async record (id: string, origin: StreamOrigin, { span, wait }: RecordTimes = {}): Promise<boolean> {
    this.beginRecord(id, origin, span)
    const record = this.own.get(id)
    return record === undefined || record.isWritten || await this.waitFor(record, wait)
  }

  /** Reads what was stored before the call; undefined if the store doesn't answer in time. Calls at the same time share a read. */
  async read (): Promise<StoredOrigins | undefined> {
    this.nextRead ??= this.reading.then(async () => await this.startRead())
    const stored = await Promise.race([this.nextRead, pauseFor(this.options.clock, READ_TIMEOUT)])
    return stored?.ok === true ? stored.val : undefined
  }

  /** Makes a version the default of a pool, or withdraws the default, and reads what has become of it. */
  async putDefault (pool: string, version: string | undefined): Promise<void> {
    await this.store.putDefault(pool, version)
    await this.read()
  }

  /** Time between two writes of this instance, ms. */
  private get writePeriod (): number {
    return 1_000 * this.options.countDaemons() / FLEET_WRITES
  }

  private isDefault ({ pool, version }: StreamOrigin): boolean {
    return this.defaults?.defaults.get(pool) === version
  }

  private async waitFor ({ written }: DurableRecord, wait = this.isInDoubt ? 0 : RECORD_TIMEOUT): Promise<boolean> {
    return wait > 0 && await Promise.race([written, pauseFor(this.options.clock, wait).then(() => false)])
  }

  private async startRead (): Promise<Result<StoredOrigins, StoreError>> {
    this.nextRead = undefined
    const running = this.store.list()
    this.reading = running
    const stored = await running
    if (stored.ok) this.defaults = stored.val
    return stored
  }

  private async write (): Promise<Result<void, StoreError>> {
    const { clock } = this.options
    const wait = this.writtenAt + this.writePeriod - clock.now()
    if (wait > 0) await pauseFor(clock, wait)
    this.writtenAt = this.writingSince = clock.now()
    this.dropOld()
    const written = await this.store.putRecords({ records: new Map([...this.own].map(([id, { origin }]) => [id, origin])), incomplete: [...this.incomplete.keys()] })
    this.writingSince = Infinity
    this.failedAt = written.err ? clock.now() : -Infinity
    if (written.ok) this.keepFormer(written.val)
    return written.map(() => undefined)
  }

  /** Keeps the records of the instance's former process, which the next write would replace. */
  private keepFormer ({ records, incomplete }: OwnOrigins): void {
    const until = this.options.clock.now() + this.options.keep
    for (const pool of incomplete) this.incomplete.set(pool, until)
    for (const [id, origin] of records) {
      if (this.own.has(id)) continue
      this.own.set(id, { origin, until, isOverride: false, isWritten: true, written: Promise.resolve(true) })
      this.idLength += id.length
    }
  }

  private dropOld (): void {
    const now = this.options.clock.now()
    for (const [pool, until] of this.incomplete) if (until <= now) this.incomplete.delete(pool)
    for (const [id, { until, origin: { pool } }] of this.own) {
      const isFull = this.own.size > MAX_RECORDS || this.idLength > MAX_ID_LENGTH
      if (until > now && !isFull) return
      if (until > now) this.incomplete.set(pool, Math.max(until, this.incomplete.get(pool) ?? 0))
      this.drop(id)
    }
  }

  private drop (id: string): void {
    if (this.own.delete(id)) this.idLength -= id.length
  }
}

function isSame (one: StreamOrigin, other: StreamOrigin): boolean {
  return one.pool === other.pool && one.version === other.version
}
