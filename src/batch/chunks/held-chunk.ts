import type { Clock } from '../../kernel/clock.js'
import type { Incarnation } from '../../kernel/incarnation.js'
import { pauseFor } from '../../kernel/pause-for.js'
import type { BatchWork } from '../../ownership/batch/batch-work.js'
import type { ObjectStore } from '../../store/object-store.js'
import type { StoredObject } from '../../store/stored-object.js'
import type { Chunk } from './chunk.js'
import { ChunkWriter } from './chunk-writer.js'
import type { Item } from '../item.js'
import { ItemQueue } from '../item-queue.js'
import type { ItemResult } from '../results/item-result.js'
import type { Job } from '../job.js'
import { limitResult } from '../results/limit-result.js'
import { listRecorded } from '../results/list-recorded.js'
import { planItemRetry } from '../plan-item-retry.js'

/** ms between attempts to read the chunk again. */
const RECHECK_PAUSE = 500
/** Maximum number of waiting items that are marked as started; if this daemon crashes, these fail as unknown. */
const MAX_MARKED = 4

interface HeldChunkOptions {
  readonly job: Job
  readonly n: number
  readonly service: string
  readonly items: readonly Item[]
  readonly object: StoredObject<Chunk>
  readonly by: Incarnation
  readonly store: ObjectStore
  readonly clock: Clock
  /** Whether items of the job may start now; checks for a pause of the process first. */
  readonly mayStart: () => boolean
  /** Called when items have become ready. */
  readonly onReady: () => void
  /** Called once, when this daemon has nothing left to run or to record for the chunk. */
  readonly onEnd: (chunk: Chunk) => void
}

type Pending = NonNullable<ReturnType<ItemQueue['take']>>

/** A chunk held by this daemon. Tracks its items while they wait, run and are recorded. */
export class HeldChunk {
  readonly name: string
  private readonly queue = new ItemQueue()
  private readonly running = new Map<number, AbortController>()
  private readonly writer: ChunkWriter
  private readonly unrecorded: Set<number>
  private readonly releaseWaiters: Array<() => void> = []
  private state: 'running' | 'releasing' | 'ended' = 'running'
  private rechecking = false
  private slots = 0

  constructor (readonly options: HeldChunkOptions) {
    const { store, clock, by, items, object } = options
    this.name = object.name
    this.writer = new ChunkWriter({ store, clock, by, items: items.length, object, onChange: () => this.end() })
    const recorded = listRecorded(object.value)
    this.unrecorded = new Set(items.keys())
    for (const item of recorded) this.unrecorded.delete(item)
    for (const item of this.unrecorded) this.queue.add(item, { idempotent: items[item]!.idempotent !== false })
  }

  get ready (): number {
    return this.state === 'running' && !this.rechecking ? this.queue.size.ready + this.queue.size.unmarked : 0
  }

  get unsavedBytes (): number {
    return this.writer.waiting.size
  }

  get unsaved (): readonly { readonly item: number, readonly result: ItemResult }[] {
    return this.writer.waiting.entries.flatMap(entry => entry.type === 'result' ? [entry] : [])
  }

  /** Marks non-idempotent items as started, a few ahead, until `slots` items are ready. */
  prepare (slots: number): void {
    this.slots = slots
    if (this.state !== 'running') return
    const limit = Math.min(slots - this.queue.size.ready, MAX_MARKED - this.queue.listMarked().length)
    for (const pending of this.queue.takeUnmarked(limit)) void this.mark(pending)
  }

  take (): BatchWork | undefined {
    const pending = this.state === 'running' && !this.rechecking ? this.queue.take() : undefined
    if (pending === undefined) return undefined
    const { job, items, service } = this.options
    const stop = new AbortController()
    if (pending.marked) this.prepare(this.slots)
    const item = items[pending.item]!
    this.running.set(pending.item, stop)
    return {
      id: `${job.id}.${item.id}`,
      job: job.id,
      caller: job.caller,
      service,
      item,
      resumeFrom: pending.tokens,
      avoid: pending.avoid,
      idempotent: item.idempotent !== false,
      signal: stop.signal,
      mayStart: () => this.options.mayStart() && !this.rechecking,
      finish: result => this.finish(pending.item, result),
      giveBack: (why, back) => this.takeBack(pending, why, back)
    }
  }

  /**
   * Starts no items until the chunk has been read again and is still held; another daemon may have claimed it during
   * a pause.
   */
  async check (): Promise<void> {
    this.rechecking = true
    while (this.state === 'running' && (await this.writer.refresh()).err) await this.wait(RECHECK_PAUSE)
    this.rechecking = false
    if (this.ready > 0) this.options.onReady()
  }

  /** Starts no more items, and releases the chunk once the running ones have ended. `abort` aborts them first. */
  async release ({ abort = false } = {}): Promise<void> {
    if (this.state === 'ended') return
    this.state = 'releasing'
    const released = new Promise<void>(resolve => this.releaseWaiters.push(resolve))
    this.queue.clear()
    if (abort) this.abort()
    this.flushOrRelease()
    await released
  }

  private async mark (pending: Pending): Promise<void> {
    const { item } = pending
    if ((await this.writer.add({ type: 'started', item }, { urgent: true })).err) return this.end()
    if (!this.writer.chunk.started.includes(item) || !this.writer.isHeld) return
    this.queue.addMarked(pending)
    this.options.onReady()
  }

  private finish (item: number, result: ItemResult): void {
    if (!this.running.delete(item)) return
    if (this.state !== 'ended') void this.recordResult(item, limitResult(result))
  }

  private async recordResult (item: number, result: ItemResult): Promise<void> {
    this.unrecorded.delete(item)
    const recorded = this.writer.add({ type: 'result', item, result })
    this.flushOrRelease()
    if ((await recorded).err) this.end()
    else this.flushOrRelease()
  }

  private takeBack (pending: Pending, why: Parameters<BatchWork['giveBack']>[0], { ran, tokens, server }: Parameters<BatchWork['giveBack']>[1]): void {
    if (!this.running.has(pending.item)) return
    const idempotent = this.options.items[pending.item]!.idempotent !== false
    const plan = planItemRetry({ why, ran, idempotent, attempts: pending.attempts, server })
    if (plan.type === 'finish') return this.finish(pending.item, plan.result)
    this.running.delete(pending.item)
    if (this.state !== 'running') return this.takeBackWhileReleasing(pending)
    const avoid = why === 'server failed' ? [...pending.avoid, server] : pending.avoid
    this.requeue({ ...pending, attempts: plan.attempts, avoid, tokens: tokens ?? pending.tokens }, plan.pause)
  }

  /** Removes the started mark of an item that is given back during the release, since it is known not to have run. */
  private takeBackWhileReleasing ({ item }: Pending): void {
    if (this.state === 'releasing' && this.options.items[item]!.idempotent === false) void this.writer.add({ type: 'not started', item })
    this.flushOrRelease()
  }

  private requeue (pending: Pending, pause: number): void {
    const makeReady = this.queue.delay(pending, { front: pause === 0 })
    this.options.clock.after(pause, () => {
      if (this.state !== 'running') return
      makeReady()
      this.options.onReady()
    })
  }

  /**
   * Once no item runs: writes the results at once if every item has one, and otherwise releases the chunk if
   * requested.
   */
  private flushOrRelease (): void {
    if (this.state === 'ended' || this.running.size > 0) return
    if (this.unrecorded.size === 0) this.writer.flush()
    if (this.state === 'releasing' && this.unrecorded.size > 0) void this.releaseClaim()
  }

  private async releaseClaim (): Promise<void> {
    this.unrecorded.clear()
    for (const item of this.queue.listMarked()) void this.writer.add({ type: 'not started', item })
    await this.writer.add({ type: 'released' }, { urgent: true })
    this.end()
  }

  private abort (): void {
    for (const stop of this.running.values()) stop.abort()
  }

  private end (): void {
    if (this.state === 'ended') return
    this.state = 'ended'
    this.queue.clear()
    this.abort()
    this.options.onEnd(this.writer.chunk)
    for (const resolve of this.releaseWaiters) resolve()
  }

  private async wait (time: number): Promise<void> {
    await pauseFor(this.options.clock, time)
  }
}
