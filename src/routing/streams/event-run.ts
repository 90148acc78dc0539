import { Err, Ok, type Result } from 'ts-results'
import type { AnswerFraming } from '../../http/answer-framing.js'
import { BurstLimit } from '../../kernel/burst-limit.js'
import { findStreamFault } from './find-stream-fault.js'
import { SseSplitter } from './sse-splitter.js'
import { stepEventProgress } from './step-event-progress.js'

/** Most bytes of events that bring nothing new, and their period, ms. Comments that keep a connection open take a few bytes a second. */
const MAX_IDLE_BYTES = { count: 32_768, period: 10_000 }
/** Least that such an event counts as, bytes: each takes time to decode. */
const MIN_EVENT_BYTES = 64

type RawEvent = ReturnType<SseSplitter['push']>[number]

/** The events of one run of a stream, which begins it or goes on after event `last`. */
export class EventRun {
  private readonly splitter = new SseSplitter()
  private readonly idleBytes: BurstLimit
  private hasEvents = false
  /** Highest id that this run has sent. */
  private sentId = -Infinity

  /** `now` returns monotonic ms. */
  constructor (private lastId: number | undefined, now: () => number) {
    this.idleBytes = new BurstLimit({ ...MAX_IDLE_BYTES, now })
  }

  /** Id of the last event of the stream so far; undefined before the first. */
  get last (): number | undefined {
    return this.lastId
  }

  /** Adds bytes of the run and returns the new events that they complete, or why the run can't continue the stream. */
  push (bytes: Buffer): Result<readonly RawEvent[], string> {
    const fresh: RawEvent[] = []
    for (const event of this.splitter.read(bytes)) {
      this.hasEvents = true
      if (this.isIdle(event) && this.idleBytes.isPassed(Math.max(MIN_EVENT_BYTES, event.bytes.length))) return Err('its events bring nothing new')
      this.sentId = Math.max(this.sentId, event.id ?? -Infinity)
      const step = stepEventProgress({ last: this.lastId }, event.id)
      if (step.type === 'gap') return Err(`event ${event.id} after ${this.lastId}`)
      if (step.type === 'known') continue
      this.lastId = step.progress.last
      fresh.push(event)
    }
    return this.splitter.isOverlong ? Err('an event has no end') : Ok(fresh)
  }

  /** Whether an event brings nothing new, not even to a run that repeats the stream from its beginning. */
  private isIdle ({ id, data }: RawEvent): boolean {
    return id === undefined ? this.lastId !== undefined || data === '' : id <= this.sentId
  }

  /** Returns why the stream, whose connection ended regularly, was broken off; undefined if nothing shows that. */
  findFault (framing: AnswerFraming): string | undefined {
    return findStreamFault({ framing, isAtBoundary: this.splitter.isAtBoundary, hasEvents: this.hasEvents })
  }

  /** Whether the bytes so far end with a complete event. */
  get isAtBoundary (): boolean {
    return this.splitter.isAtBoundary
  }
}
