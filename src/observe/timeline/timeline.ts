import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../../kernel/clock.js'
import type { Settings } from '../../kernel/settings.js'
import { tokens } from '../../kernel/tokens.js'
import type { TimelineEvent } from './timeline-event.js'

const MAX_EVENTS = 20_000
/** Smallest time between two events of one process, ms. */
const TICK = 0.001

/**
 * Keeps the newest events of this daemon, up to `MAX_EVENTS`. Its times are hybrid logical: each frame from a peer carries
 * the time of the sender, and `observe` advances the local time to it.
 */
@scoped(Lifecycle.ContainerScoped)
export class Timeline {
  private readonly events: TimelineEvent[] = []
  private last = 0

  constructor (
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.settings) private readonly settings: Settings
  ) {}

  /** Advances the logical time and returns it, as the time of an event or a sent frame. */
  tick (): number {
    this.last = Math.max(this.clock.date(), this.last + TICK)
    return this.last
  }

  /** Advances the logical time to that of a received frame. */
  observe (time: number): void {
    this.last = Math.max(this.last, time)
  }

  /** Adds an event with the next logical time. */
  record (event: Omit<TimelineEvent, 'time' | 'instance'>): void {
    this.events.push({ time: this.tick(), instance: this.settings.instance, ...event })
    if (this.events.length > MAX_EVENTS) this.events.splice(0, MAX_EVENTS / 10)
  }

  /** Finds events, oldest first, optionally of one request or job. `around` adds the events that belong to neither. */
  find ({ request, job, around = false }: { readonly request?: string, readonly job?: string, readonly around?: boolean } = {}): readonly TimelineEvent[] {
    return this.events.filter(event => (around && event.request === undefined && event.job === undefined) || ((request === undefined || event.request === request) && (job === undefined || event.job === job)))
  }
}
