import { Err, Ok, type Result } from 'ts-results'
import type { Refusal } from '../admission/refusal.js'
import type { RetryBudget } from '../coordination/retry-budget.js'
import type { Clock } from '../kernel/clock.js'
import type { Random } from '../kernel/random.js'
import type { BackendServer } from './servers/backend-server.js'
import { chooseServer } from './servers/choose-server.js'
import { hashRequest } from './hash-request.js'
import type { OpenExchange } from './exchanges/open-exchange.js'
import { planRetry } from './plan-retry.js'
import type { Quarantine } from './quarantine/quarantine.js'
import type { SendFailure } from './exchanges/send-failure.js'
import type { Sender } from './exchanges/sender.js'
import type { ServerRequest } from './exchanges/server-request.js'
import type { Servers } from './servers/servers.js'
import type { Trial } from './quarantine/trial.js'
import type { Trials } from './quarantine/trials.js'

/** Mean of the retry delay suggested to a refused caller, ms. */
const RETRY_AFTER = 1_000
const QUARANTINED_DETAIL = 'the servers that ran this request ended; it is kept out for a while'

/** The parts that all deliveries of one daemon use. */
interface DeliveryTools {
  readonly servers: Servers
  readonly sender: Sender
  readonly quarantine: Quarantine
  readonly trials: Trials
  readonly clock: Clock
  readonly random: Random
  readonly budget: RetryBudget
}

interface DeliveryOptions {
  /** Affinity key of the servers' prefix caches; the request's fingerprint when absent. */
  readonly key?: string
  /** Returns the timeout in ms of a request that may be sent again and has `left` ms until its deadline. */
  readonly getTimeout: (left: number) => number
  /** Longest wait of a retry for a server with capacity, ms. */
  readonly retryWait: number
}

/** Sends one request until a server answers: chooses the servers, decides on retries, and builds the refusal if it fails. */
export class Delivery {
  private readonly fingerprint: string
  private readonly tried: BackendServer[] = []
  private sent = false
  private trial?: Trial

  constructor (readonly request: ServerRequest, private readonly tools: DeliveryTools, private readonly options: DeliveryOptions) {
    this.fingerprint = hashRequest(request)
  }

  /** Sends until an answer begins. If a server has capacity, counts the request there before the first await. */
  async open (body: Buffer | null): Promise<Result<OpenExchange, Refusal>> {
    for (;;) {
      const available = this.tryChoose()
      const server = available ?? await this.waitForServer()
      if ('cause' in server) return Err(server)
      this.tried.push(server)
      const opened = await this.tools.sender.send(server, this.request, { body, fingerprint: this.fingerprint, headerTimeout: this.getTimeout() })
      if (opened.ok) {
        this.sent = true
        return Ok(opened.val)
      }
      const refusal = this.plan(opened.val)
      if (refusal !== undefined) return Err(refusal)
      if (opened.val.why === 'unreachable') await this.tools.sender.waitIfServerLost(server)
    }
  }

  /** Returns the refusal that follows a failure, or undefined if the request may be sent again. */
  plan (failure: SendFailure): Refusal | undefined {
    const { clock, budget } = this.tools
    this.sent ||= failure.sent
    this.trial?.end()
    this.trial = undefined
    const plan = planRetry(
      { idempotent: this.request.idempotent, attempts: this.tried.length, sent: this.sent, deadline: this.request.deadline },
      failure,
      { now: clock.now(), takeRetry: () => budget.take() }
    )
    return plan.type === 'send' ? undefined : this.refuse(plan.cause, plan.detail)
  }

  /** Ends the delivery. A complete answer adds to the retry budget and counts as a pass if the request is suspect. */
  end (whole: boolean): void {
    if (whole) {
      this.tools.budget.record()
      this.tools.quarantine.pass(this.fingerprint)
    }
    this.trial?.end()
    this.trial = undefined
  }

  refuse (cause: Refusal['cause'], detail: string): Refusal {
    return { cause, ran: this.sent ? 'unknown' : 'not run', retryAfter: this.tools.random.spread(RETRY_AFTER), detail }
  }

  /** Returns a server with capacity, a refusal that waiting can't avert, or undefined if the request has to wait. */
  private tryChoose (): BackendServer | Refusal | undefined {
    const status = this.tools.quarantine.check(this.fingerprint)
    if (status === 'quarantined') return this.refuse('quarantined', QUARANTINED_DETAIL)
    if (status === 'suspect') return undefined
    const open = this.listOpen()
    if (open.length === 0) return this.refuse('no server', 'no server of the pool is open')
    const server = this.choose(open)
    if (server === undefined && this.tried.length === 0) return this.refuse('overloaded', 'every server is at its limit')
    return server
  }

  private listOpen (): readonly BackendServer[] {
    return this.tools.servers.inPool(this.request.pool).filter(({ leaving, limit }) => !leaving && limit > 0)
  }

  /** Chooses a server that hasn't failed this request; one that has only if no other is open. */
  private choose (open: readonly BackendServer[]): BackendServer | undefined {
    const { quarantine, random } = this.tools
    const tried = this.tried.map(({ name }) => name)
    const untried = open.filter(({ name }) => !tried.includes(name))
    const same = quarantine.findServer(this.fingerprint)
    const options = {
      random,
      limit: this.request.limit,
      avoided: this.tried.map(({ failureDomain }) => failureDomain),
      key: this.options.key ?? this.fingerprint
    }
    return chooseServer(open.filter(({ name }) => name === same), options) ?? chooseServer(untried.length > 0 ? untried : open, options)
  }

  private async waitForServer (): Promise<BackendServer | Refusal> {
    const { quarantine, clock, servers } = this.tools
    const end = Math.min(this.request.deadline, clock.now() + this.options.retryWait)
    for (;;) {
      const suspect = quarantine.check(this.fingerprint) === 'suspect'
      const chosen = suspect ? await this.waitForTrial() : this.tryChoose()
      if (chosen !== undefined) return chosen
      if (suspect) continue
      if (clock.now() >= end || this.request.signal?.aborted === true) return this.refuse('overloaded', 'every other server is at its limit')
      await servers.waitForRelease(end - clock.now())
    }
  }

  /** Waits for a trial and returns its server; undefined if the request was cleared meanwhile. */
  private async waitForTrial (): Promise<BackendServer | Refusal | undefined> {
    const open = this.listOpen()
    if (open.length === 0) return this.refuse('no server', 'no server of the pool is open')
    const outcome = await this.tools.trials.wait(this.fingerprint, () => this.listOpen().map(({ name }) => name), this.request)
    switch (outcome) {
      case 'cleared': return undefined
      case 'quarantined': return this.refuse('quarantined', QUARANTINED_DETAIL)
      case 'deadline': return this.refuse('deadline', 'its deadline passed before it could be tried alone')
      default:
        this.trial = outcome
        return this.tools.servers.find(outcome.server) ?? open.find(({ name }) => name === outcome.server)
    }
  }

  /** Longest wait for the next bytes of an answer, ms. */
  getTimeout (): number {
    const left = Math.max(1, this.request.deadline - this.tools.clock.now())
    return this.request.idempotent ? Math.min(left, this.options.getTimeout(left)) : left
  }
}
