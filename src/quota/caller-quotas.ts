import { inject, Lifecycle, scoped } from 'tsyringe'
import { ConfigurationHolder } from '../config/configuration-holder.js'
import type { Clock } from '../kernel/clock.js'
import type { Part } from '../kernel/part.js'
import { pauseFor } from '../kernel/pause-for.js'
import { partRegistry } from '../kernel/part-registry.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import type { LogSink } from '../observe/log-sink.js'
import { Metrics } from '../observe/metrics.js'
import { MemberCalls } from '../peers/member-calls.js'
import { PeerLinks } from '../peers/peer-links.js'
import { planBucket } from './plan-bucket.js'
import type { Quota } from './quota.js'
import { QuotaBucket } from './quota-bucket.js'
import type { QuotaDecision } from './quota-decision.js'
import { QuotaHolders } from './quota-holders.js'
import type { QuotaTerms } from './quota-terms.js'

/** How many holders one request asks. */
const MAX_HOLDERS = 3
/** Time without an answer after which the next holder is asked as well, and after which an answer is no longer awaited, ms. */
const HEDGE_TIME = 40
const ANSWER_TIMEOUT = 250
/** How long a token that arrived too late for its request may be used for another one, ms. */
const SPARE_KEEP = 1_000
/** How long after the start of a process a request waits for a holder, and the interval at which it asks again, ms. */
const START_TIME = 1_500
const START_RETRY_PERIOD = 25
/** Shortest time for which a caller whose holders had no token is refused without asking again, ms. */
const MIN_EMPTY_TIME = 20
/** Mean retry delay of a refused caller beyond the time of the next token, ms, and its relative spread. */
const RETRY_DELAY = 600
const RETRY_SPREAD = 0.5
/** Shortest time between two log lines about one caller, ms. */
const LOG_PERIOD = 1_000

const GRANTED: QuotaDecision = { type: 'granted' }

interface TakeQuestion { readonly caller: string }
/** `wait`: 0 for a token, otherwise the time until there is one, ms. */
interface TakeAnswer { readonly wait: number }

/**
 * Holds callers to their quotas over all daemons. Each quota is divided between a few holders, each with a token bucket. A holder takes
 * tokens from its own bucket and, where that is empty, from another holder's; so does a daemon that holds none. Tokens are never
 * created, only taken: no loss of messages, no partition and no pause lets more requests through than the buckets contain.
 */
@scoped(Lifecycle.ContainerScoped)
export class CallerQuotas implements Part {
  readonly extensions
  private readonly calls: MemberCalls<TakeQuestion, TakeAnswer>
  private readonly buckets = new Map<string, QuotaBucket>()
  /** When the holders of a caller may have a token again, monotonic ms. */
  private readonly emptyUntil = new Map<string, number>()
  /** When tokens arrived for requests that had one already, by caller, monotonic ms. */
  private readonly spares = new Map<string, readonly number[]>()
  private readonly loggedAt = new Map<string, number>()
  private readonly startedAt: number

  constructor (
    @inject(tokens.settings) private readonly settings: Pick<Settings, 'instance'>,
    @inject(tokens.quotaTerms) private readonly terms: QuotaTerms,
    @inject(ConfigurationHolder) private readonly configuration: ConfigurationHolder,
    @inject(QuotaHolders) private readonly holders: Pick<QuotaHolders, 'count' | 'list' | 'hasMajority'>,
    @inject(PeerLinks) links: Pick<PeerLinks, 'send'>,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random,
    @inject(tokens.log) private readonly log: LogSink,
    @inject(Metrics) private readonly metrics: Metrics
  ) {
    this.startedAt = clock.now()
    this.calls = new MemberCalls({ links, clock, name: 'quota', handle: async ({ caller }) => this.answer(String(caller)) })
    this.extensions = this.calls.extensions
  }

  async start (): Promise<void> {
    this.configuration.subscribe(({ callers }) => {
      for (const known of [this.buckets, this.emptyUntil, this.spares, this.loggedAt]) for (const name of known.keys()) if (!Object.hasOwn(callers, name)) known.delete(name)
    })
  }

  /** Takes a token for a request of the caller: at once if it has no quota or this daemon has a token, otherwise from another daemon. */
  take (caller: string | undefined): QuotaDecision | Promise<QuotaDecision> {
    const quota = this.findQuota(caller)
    if (caller === undefined || quota === undefined) return GRANTED
    const wait = this.takeOwn(caller, quota)
    if (wait === 0 || this.takeSpare(caller)) return this.record(caller, GRANTED)
    const emptyUntil = this.emptyUntil.get(caller) ?? -Infinity
    if (this.clock.now() < emptyUntil) return this.record(caller, this.refuse(emptyUntil - this.clock.now()))
    return this.takeFromOthers(caller, quota, wait ?? Infinity).then(decision => this.record(caller, decision))
  }

  /** Returns the token of a request that wasn't sent. */
  giveBack (caller: string | undefined): void {
    if (caller !== undefined) this.buckets.get(caller)?.giveBack()
  }

  private findQuota (caller: string | undefined): Quota | undefined {
    const { rate = 0, burst = 0 } = this.configuration.value.callers[caller ?? ''] ?? {}
    return rate > 0 ? { rate, burst } : undefined
  }

  /** Takes a token from this daemon's bucket. Returns 0, or the time until there is one, ms; undefined if this daemon holds none. */
  private takeOwn (caller: string, quota: Quota): number | undefined {
    const { holders, ...plan } = planBucket(quota, this.terms, this.holders.count())
    if (!this.holders.hasMajority() || !this.holders.list(caller, holders).includes(this.settings.instance)) {
      this.buckets.get(caller)?.pause(this.clock.now())
      return undefined
    }
    const now = this.clock.now()
    const bucket = this.buckets.get(caller) ?? new QuotaBucket(plan, now)
    this.buckets.set(caller, bucket)
    bucket.update(plan, now)
    return bucket.take(now)
  }

  /** Asks other holders, again and again while this process has just started: they and this one may not know one another yet. */
  private async takeFromOthers (caller: string, quota: Quota, ownWait: number): Promise<QuotaDecision> {
    for (let wait: number | undefined = ownWait; ; wait = this.takeOwn(caller, quota)) {
      if (wait === 0) return GRANTED
      const decision = await this.askHolders(caller, quota, wait ?? Infinity)
      if (decision.type !== 'unknown' || this.clock.now() > this.startedAt + START_TIME) return decision
      await pauseFor(this.clock, START_RETRY_PERIOD)
    }
  }

  /**
   * Asks other holders in random order for a token: the next one as soon as one has none, or after `HEDGE_TIME` without an answer. Tokens
   * that arrive when the request has one are kept for the next.
   */
  private async askHolders (caller: string, quota: Quota, ownWait: number): Promise<QuotaDecision> {
    const { holders } = planBucket(quota, this.terms, this.holders.count())
    const others = this.holders.list(caller, holders).filter(name => name !== this.settings.instance)
    const first = this.random.below(others.length)
    const order = [...others.slice(first), ...others.slice(0, first)].slice(0, MAX_HOLDERS)
    const waits = [ownWait]
    return await new Promise(resolve => {
      let [asked, open, settled] = [0, 0, false]
      const settle = (decision: QuotaDecision): void => {
        settled = true
        resolve(decision)
      }
      const askNext = (): void => {
        const holder = order[asked]
        if (settled || holder === undefined) return
        asked++
        open++
        void this.calls.call(holder, { caller }, ANSWER_TIMEOUT).then(answer => {
          open--
          if (answer?.wait === 0) return settled ? this.keepSpare(caller) : settle(GRANTED)
          if (answer !== undefined) waits.push(Number(answer.wait))
          if (settled) return
          if (asked < order.length) askNext()
          else if (open === 0) settle(this.planRefusal(caller, Math.min(...waits)))
        })
        this.clock.after(HEDGE_TIME, askNext)
      }
      if (order.length === 0) settle(this.planRefusal(caller, ownWait))
      else askNext()
    })
  }

  /** Returns the refusal of a request for which no holder had a token, by the time until the first of them has one, ms. */
  private planRefusal (caller: string, wait: number): QuotaDecision {
    if (wait === Infinity) return { type: 'unknown' }
    this.emptyUntil.set(caller, this.clock.now() + Math.max(MIN_EMPTY_TIME, wait))
    return this.refuse(wait)
  }

  private keepSpare (caller: string): void {
    this.spares.set(caller, [...this.spares.get(caller) ?? [], this.clock.now()])
  }

  private takeSpare (caller: string): boolean {
    const spares = this.spares.get(caller)?.filter(at => at > this.clock.now() - SPARE_KEEP) ?? []
    const isFound = spares.shift() !== undefined
    if (spares.length > 0) this.spares.set(caller, spares)
    else this.spares.delete(caller)
    return isFound
  }

  private answer (caller: string): TakeAnswer | undefined {
    const quota = this.findQuota(caller)
    const wait = quota === undefined ? undefined : this.takeOwn(caller, quota)
    return wait === undefined ? undefined : { wait }
  }

  private refuse (wait: number): QuotaDecision {
    return { type: 'refused', retryAfter: wait + this.random.spread(RETRY_DELAY, RETRY_SPREAD) }
  }

  private record (caller: string, decision: QuotaDecision): QuotaDecision {
    this.metrics.count('quota_takes_total', { outcome: decision.type })
    if (decision.type === 'granted') return decision
    const now = this.clock.now()
    if (now < (this.loggedAt.get(caller) ?? -Infinity) + LOG_PERIOD) return decision
    this.loggedAt.set(caller, now)
    this.log.write('info', 'quota', decision.type === 'refused' ? 'a caller has used up its quota' : 'no holder of a quota answered', { caller, ...this.findQuota(caller), ...decision.type === 'refused' && { retryAfter: Math.round(decision.retryAfter) } })
    return decision
  }
}

partRegistry.register({ name: 'caller quotas', part: CallerQuotas, needs: ['quota holders', 'peer links'] })
