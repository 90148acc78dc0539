import { createHash, randomUUID } from 'node:crypto'
import { inject, Lifecycle, scoped } from 'tsyringe'
import { Gate } from '../admission/gate.js'
import type { Refusal } from '../admission/refusal.js'
import type { Clock } from '../kernel/clock.js'
import { partRegistry } from '../kernel/part-registry.js'
import { pauseFor } from '../kernel/pause-for.js'
import type { Random } from '../kernel/random.js'
import type { Settings } from '../kernel/settings.js'
import { tokens } from '../kernel/tokens.js'
import { Timeline } from '../observe/timeline/timeline.js'
import { Members } from '../peers/members.js'
import type { StoreError } from '../store/store-error.js'
import type { StoredObject } from '../store/stored-object.js'
import type { ServerAnswer } from '../routing/exchanges/server-answer.js'
import type { ServerRequest } from '../routing/exchanges/server-request.js'
import { readAnswer } from './read-answer.js'
import { planClaim } from './plan-claim.js'
import type { KeyedClaim } from './keyed-claim.js'
import { KeyedClaims } from './keyed-claims.js'
import { KeyedIndex } from './keyed-index.js'
import type { KeyedOutcome } from './keyed-outcome.js'

/** Longest recorded answer, bytes: in base64 and with the rest of the claim it stays under the 1 MB limit of a stored value. */
const MAX_RECORDED_BYTES = 512_000
const RETRY_AFTER = 2_000
/** How long a request waits for the outcome of a run in progress under its key, ms. */
const MAX_WAIT = 10_000
const FIRST_POLL = 100
const MAX_POLL = 1_000

type Settlement = Parameters<KeyedClaims['settle']>[1]
type StoredClaim = Parameters<KeyedClaims['settle']>[0]

/** Runs requests that carry an idempotency key: at most once for each key of a caller, whichever daemons receive it. */
@scoped(Lifecycle.ContainerScoped)
export class KeyedRequests {
  private readonly run: number
  /** Ids of unsettled claims whose request this process may have sent. */
  private readonly sent = new Set<string>()
  /** Requests running in this process, by the claim's name. */
  private readonly running = new Map<string, Promise<unknown>>()

  constructor (
    @inject(Gate) private readonly gate: Gate,
    @inject(KeyedClaims) private readonly claims: KeyedClaims,
    @inject(KeyedIndex) private readonly index: KeyedIndex,
    @inject(Members) private readonly members: Members,
    @inject(Timeline) private readonly timeline: Timeline,
    @inject(tokens.settings) private readonly settings: Settings,
    @inject(tokens.clock) private readonly clock: Clock,
    @inject(tokens.random) private readonly random: Random
  ) {
    this.run = members.run
  }

  /** Runs the request or returns the outcome of its key. Ignores `request.signal`: a disconnected caller may ask for the answer again. */
  async send (request: ServerRequest, key: string): Promise<KeyedOutcome> {
    const name = hash(request.caller, key)
    const fingerprint = hash(request.service, request.method, request.path, request.body ?? '')
    const end = Math.min(request.deadline, this.clock.now() + MAX_WAIT)
    for (let pause = FIRST_POLL, version = 0; ; pause = Math.min(MAX_POLL, pause * 2)) {
      if (version >= 0 && !this.running.has(name)) {
        const claimed = await this.begin(name, this.buildClaim(request, fingerprint), version, request)
        if (claimed !== 'taken') return claimed
      }
      await this.wait(this.running.get(name), end - this.clock.now())
      const next = await this.resolveClaim(name, fingerprint)
      if (typeof next === 'object') return next
      version = next
      // Retries without a delay only once: a stale read may keep showing the key as free while writes find it taken.
      if (version >= 0 && !this.running.has(name) && pause === FIRST_POLL) continue
      if (this.clock.now() >= end) return { type: 'in progress' }
      await this.wait('time', Math.min(pause, end - this.clock.now()))
    }
  }

  private buildClaim ({ deadline }: ServerRequest, fingerprint: string): KeyedClaim {
    const at = this.clock.date()
    return { id: randomUUID(), holder: this.settings.instance, run: this.run, fingerprint, at, until: at + deadline - this.clock.now(), outcome: { type: 'open' } }
  }

  /** Claims the key and runs the request; returns 'taken' where another claim exists. */
  private async begin (name: string, claim: KeyedClaim, version: number, request: ServerRequest): Promise<KeyedOutcome | 'taken'> {
    const running = this.claimAndRun(name, claim, version, request)
    this.running.set(name, running)
    try {
      return await running
    } finally {
      this.running.delete(name)
    }
  }

  private async claimAndRun (name: string, claim: KeyedClaim, version: number, request: ServerRequest): Promise<KeyedOutcome | 'taken'> {
    const created = await this.claims.create(name, claim, version)
    if (created.err) return created.val.type === 'conflict' ? 'taken' : this.refuse(created.val)
    this.index.add(name)
    this.timeline.record({ part: 'entry', what: 'key claimed', request: request.id })
    // A process that was paused since the claim must not send the request after its caller has timed out.
    if (this.clock.now() >= request.deadline) {
      await this.claims.settle(created.val, 'release')
      return { type: 'refused', refusal: { cause: 'deadline', ran: 'not run', retryAfter: this.random.spread(RETRY_AFTER), detail: 'the deadline passed before it was sent' } }
    }
    this.sent.add(claim.id)
    const answer = await this.gate.send({ ...request, idempotent: false, signal: undefined })
    return answer.ok ? await this.settleAnswer(created.val, answer.val) : await this.settleRefusal(created.val, answer.val)
  }

  /** Settles the claim, and drops the record that its request was sent once the outcome is stored. */
  private async settle (stored: StoredClaim, settlement: Settlement): Promise<void> {
    if (await this.claims.settle(stored, settlement)) this.sent.delete(stored.claim.id)
  }

  private async settleRefusal (stored: StoredClaim, refusal: Refusal): Promise<KeyedOutcome> {
    if (refusal.ran === 'unknown') {
      await this.settle(stored, { type: 'unknown', cause: refusal.detail })
      return { type: 'unknown', cause: refusal.detail }
    }
    this.sent.delete(stored.claim.id)
    await this.settle(stored, 'release')
    return { type: 'refused', refusal }
  }

  /** Records the answer before returning it, so that a repeated request gets the same one. A cut answer ends as unknown. */
  private async settleAnswer (stored: StoredClaim, answer: ServerAnswer): Promise<KeyedOutcome> {
    const collected = await readAnswer(answer, MAX_RECORDED_BYTES)
    if (collected.type === 'cut') {
      const cause = 'its answer was cut'
      await this.settle(stored, { type: 'unknown', cause })
      return { type: 'unknown', cause }
    }
    const { status, headers: { 'content-type': type } } = answer
    const contentType = type === undefined ? undefined : String(type)
    const body = collected.type === 'whole' ? collected.body.toString('base64') : undefined
    await this.settle(stored, { type: 'answered', status, contentType, body })
    return { type: 'answered', status, contentType, body: collected.body, replayed: false, run: answer }
  }

  /** Returns the outcome of the stored claim, the version at which to take the key, or -1 to wait. */
  private async resolveClaim (name: string, fingerprint: string): Promise<KeyedOutcome | number> {
    const read = await this.claims.read(name)
    if (read.err) return read.val.type === 'missing' ? 0 : this.refuse(read.val)
    const claim = read.val.value
    const own = claim.holder === this.settings.instance && claim.run === this.run
    const ownUnsent = own && !this.sent.has(claim.id) && !this.running.has(name)
    const decision = planClaim(claim, { now: this.clock.date(), fingerprint, holderGone: !own && this.isHolderGone(claim), ownUnsent })
    switch (decision) {
      case 'take': return read.val.version
      case 'wait': return -1
      case 'mismatch': return { type: 'mismatch' }
      case 'end as unknown': return await this.endAsUnknown(read.val)
      case 'replay':
      case 'unknown': return readOutcome(claim)
    }
  }

  private async endAsUnknown (claim: StoredObject<KeyedClaim>): Promise<KeyedOutcome | number> {
    const ended = await this.claims.endAsUnknown(claim)
    return ended ? { type: 'unknown', cause: 'the daemon that sent it is gone' } : -1
  }

  /** Whether the holder's process has ended; false while this daemon has no members yet, right after a start or a pause. */
  private isHolderGone ({ holder, run }: KeyedClaim): boolean {
    if (this.members.owners().length === 0) return false
    const member = this.members.all().find(({ instance }) => instance.name === holder)
    return member === undefined || (member.run > 0 && member.run !== run)
  }

  private refuse (error: StoreError): KeyedOutcome {
    const retryAfter = error.type === 'limited' ? error.retryAfter : RETRY_AFTER
    return { type: 'refused', refusal: { cause: 'platform', ran: 'not run', retryAfter: this.random.spread(retryAfter), detail: 'the key could not be claimed at the platform; nothing was sent' } }
  }

  /** Waits for `time` ms, or less if the given run ends sooner; returns at once where no run is given. */
  private async wait (running: Promise<unknown> | undefined | 'time', time: number): Promise<void> {
    if (running === undefined) return
    const timer = pauseFor(this.clock, time)
    await (running === 'time' ? timer : Promise.race([timer, running]))
  }
}

function readOutcome ({ outcome }: KeyedClaim): KeyedOutcome {
  if (outcome.type !== 'answered') return { type: 'unknown', cause: outcome.type === 'unknown' ? outcome.cause : '' }
  const { status, contentType, body } = outcome
  if (body === undefined) return { type: 'not kept', status }
  return { type: 'answered', status, contentType, body: Buffer.from(body, 'base64'), replayed: true }
}

function hash (...parts: readonly (string | Uint8Array)[]): string {
  const sum = createHash('sha256')
  for (const part of parts) sum.update(`${part.length}:`).update(part)
  return sum.digest('hex')
}

partRegistry.register({ name: 'keyed requests', part: KeyedRequests, needs: ['members', 'keyed claims', 'keyed index', 'dispatcher'] })
