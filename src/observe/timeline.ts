import { inject, Lifecycle, scoped } from 'tsyringe'
import type { Clock } from '../kernel/clock.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { TimelineEvent } from './timeline-event.js'

const MAX_EVENTS = 20_000
/** Two events of one process in the same millisecond are told apart by thousandths. */
const TICK = 0.001

/**
 * The events of this daemon, the newest `KEPT_EVENTS` of them. Its times are hybrid logical: each frame from a
 * peer carries the sender's time, and `observe` moves ours past it.
 */
@scoped(Lifecycle.ContainerScoped)
export class Timeline {
  private readonly events: TimelineEvent[] = []
  private last = 0

  constructor (
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.settings) private readonly settings: Settings
  ) {}

  /** The time to stamp on what leaves this process. */
  tick (): number {
    this.last = Math.max(this.clock.date(), this.last + TICK)
    return this.last
  }

  observe (time: number): void {
    this.last = Math.max(this.last, time)
  }

  record (event: Omit<TimelineEvent, 'time' | 'instance'>): void {
    this.events.push({ time: this.tick(), instance: this.settings.instance, ...event })
    if (this.events.length > MAX_EVENTS) this.events.splice(0, MAX_EVENTS / 10)
  }

  /** Kept events, oldest first, of one request or one job where given; with `around` also those of no request and no job. */
  find ({ request, job, around = false }: { readonly request?: string, readonly job?: string, readonly around?: boolean } = {}): readonly TimelineEvent[] {
    return this.events.filter(event => (around && event.request === undefined && event.job === undefined) || ((request === undefined || event.request === request) && (job === undefined || event.job === job)))
  }
}
