import { randomUUID } from 'node:crypto'
import { Err, Ok, type Result } from 'ts-results'
import type { Clock } from '../kernel/clock.js'
import { pauseFor } from '../kernel/pause-for.js'
import { Random } from '../kernel/random.js'
import { SystemClock } from '../kernel/system-clock.js'
import { Metrics } from '../observe/metrics.js'
import type { ApiAnswer } from './api-answer.js'
import type { ApiCall } from './api-call.js'
import type { ApiTransport } from './api-transport.js'
import type { CallPriority } from './call-priority.js'
import { CallGate } from './call-gate.js'
import type { Instance } from './instance.js'
import type { ObjectPage } from './object-page.js'
import type { ObjectStore } from './object-store.js'
import { readObjectPage } from './read-object-page.js'
import { readStoreError } from './read-store-error.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'
import type { WatchOptions } from './watch-options.js'

const CALL_TIMEOUT = 2_000 // ms
const WATCH_SLACK = 1_000 // ms
const MAX_ATTEMPTS = 3
/** Attempts for a caller's write under `callerTimeout`, which doubles with each. */
const MAX_CALLER_ATTEMPTS = 4
const RESEND_PAUSE = 100
const CONFLICT = 409
const REDIRECTION = 300

interface PlatformClientOptions {
  readonly clock?: Clock
  readonly random?: Random
  readonly metrics?: Metrics
  /**
   * First timeout of a caller's write, ms, which doubles with each attempt; a caller's read begins with twice this. If omitted,
   * all calls have the same timeout. For callers with short deadlines, whose time a lost reply would use up otherwise. A
   * store that is slower than this gets calls again that it would have answered.
   */
  readonly callerTimeout?: number
  /** Longest delay between two probes of a store that doesn't answer, ms. */
  readonly maxProbeDelay?: number
  /** The platform's rate limits for all daemons together, calls a second, where they are known. */
  readonly fleetRates?: { readonly reads: number, readonly writes: number }
  /** Creates the ids of writes, which must never repeat in the fleet. */
  readonly createId?: () => string
}

type Put = Extract<ApiCall, { type: 'put' }>

interface WriteOutcome { readonly answer: ApiAnswer, readonly lost: boolean }

/**
 * A client of the platform's object API with a call budget, a circuit breaker for outages, and a reliable outcome for
 * writes whose reply is lost.
 *
 * A write without an answer may have taken effect, or may do so later. It is resent with the same id: as it is
 * conditional, at most one attempt takes effect, and none can after that. A conflict on a later attempt is settled by the
 * write id stored with the object: if it is this write's, the write succeeded; if it is another's, this write may have
 * preceded it, so that the outcome is `unknown`. It is `unknown` too where no attempt is answered. Where the last attempt of
 * a caller's write is refused, late answers of earlier ones are waited for: they tell whether those were refused as well. `conflict`, `limited`
 * and `unavailable` are returned only for writes that have not taken effect and never will.
 */
export class PlatformClient implements ObjectStore {
  private readonly clock: Clock
  private readonly random: Random
  private readonly createId: () => string
  private readonly gate: CallGate
  private readonly callerTimeout: number | undefined

  constructor (private readonly transport: ApiTransport, { clock = new SystemClock(), random = new Random(Date.now()), metrics = new Metrics(), createId = randomUUID, maxProbeDelay, callerTimeout, fleetRates }: PlatformClientOptions = {}) {
    this.clock = clock
    this.random = random
    this.createId = createId
    this.callerTimeout = callerTimeout
    this.gate = new CallGate(transport, { clock, random, metrics, maxProbeDelay, fleetRates })
  }

  /** Sets an alternative path to the platform for callers' calls: a peer that sends them with `sendDirect`. */
  useRelay (relay: Parameters<CallGate['useRelay']>[0]): void {
    this.gate.useRelay(relay)
  }

  /** Sets the source of the number of daemons that share the platform's rate. */
  useFleet (count: () => number): void {
    this.gate.useFleet(count)
  }

  /** Sends another daemon's call once, directly to the platform. */
  async sendDirect (call: ApiCall, timeout: number): Promise<ApiAnswer> {
    return await this.gate.sendDirect(call, 'caller', timeout)
  }

  async get<T> (kind: string, name: string, priority: CallPriority = 'background'): Promise<Result<StoredObject<T>, StoreError>> {
    return await this.read({ type: 'get', kind, name }, priority)
  }

  async put<T> (kind: string, name: string, value: T, version: number, priority: CallPriority = 'background'): Promise<Result<StoredObject<T>, StoreError>> {
    const call: Put = { type: 'put', kind, name, value, version, writeId: this.createId() }
    const { answer, lost } = await this.sendWrite(call, priority)
    if (!lost) return readResult(answer)
    if (answer.type !== 'answered') return Err({ type: 'unknown', reason: 'no reply came' })
    return answer.status === CONFLICT ? await this.settlePut(call, answer.body.version, priority) : readResult(answer)
  }

  async putStatus (kind: string, name: string, status: unknown): Promise<Result<void, StoreError>> {
    const { answer } = await this.sendWrite({ type: 'put status', kind, name, status }, 'operator')
    return readResult(answer).map(() => undefined)
  }

  /** After a lost reply, an object that no longer exists counts as deleted by this call. */
  async delete (kind: string, name: string, version: number, priority: CallPriority = 'background'): Promise<Result<void, StoreError>> {
    const { answer, lost } = await this.sendWrite({ type: 'delete', kind, name, version }, priority)
    if (answer.type === 'answered' && answer.status < REDIRECTION) return Ok(undefined)
    if (!lost) return readResult<undefined>(answer)
    if (answer.type === 'answered' && answer.status === CONFLICT && answer.body.version === 0) return Ok(undefined)
    return Err({ type: 'unknown', reason: 'no reply came, or the object has been written since' })
  }

  async list<T> (kind: string, { prefix = '', after = '', limit = 500, priority = 'background' }: Parameters<ObjectStore['list']>[1] = {}): Promise<Result<ObjectPage<T>, StoreError>> {
    return (await this.read<Parameters<typeof readObjectPage<T>>[0]>({ type: 'list', kind, prefix, after, limit }, priority)).andThen(readObjectPage)
  }

  /** Waits for changes; to resume after a failure, call it again with the last revision. */
  async watch<T> (kind: string, revision: number, wait: number, { priority = 'background', timeout = wait + WATCH_SLACK, signal }: WatchOptions = {}): Promise<Result<WatchBatch<T>, StoreError>> {
    return readResult(await this.gate.sendDirect({ type: 'watch', kind, revision, wait }, priority, timeout, { signal }))
  }

  async listInstances (): Promise<Result<readonly Instance[], StoreError>> {
    return (await this.read<{ instances: Instance[] }>({ type: 'instances' }, 'background')).map(({ instances }) => instances)
  }

  async close (): Promise<void> {
    this.gate.close()
    await this.transport.close()
  }

  /** Sends a read, and once more where it isn't answered. */
  private async read<T> (call: ApiCall, priority: CallPriority): Promise<Result<T, StoreError>> {
    const shortTimeout = priority === 'caller' ? this.callerTimeout : undefined
    const answer = await this.gate.send(call, priority, shortTimeout === undefined ? CALL_TIMEOUT : 2 * shortTimeout)
    if (answer.type !== 'no answer') return readResult<T>(answer)
    if (shortTimeout === undefined) await this.pause()
    return readResult<T>(await this.gate.send(call, priority, CALL_TIMEOUT, { relayed: shortTimeout !== undefined || undefined }))
  }

  /**
   * Sends a write until it is answered or its attempts are used up; under `callerTimeout` every second attempt goes through
   * a peer. `lost` means that an earlier attempt may have taken effect.
   */
  private async sendWrite (call: ApiCall, priority: CallPriority): Promise<WriteOutcome> {
    let lost = 0
    const late: Array<Promise<ApiAnswer>> = []
    const shortTimeout = priority === 'caller' ? this.callerTimeout : undefined
    const maxAttempts = shortTimeout === undefined ? MAX_ATTEMPTS : MAX_CALLER_ATTEMPTS
    const isRelayed = (attempt: number): boolean | undefined => shortTimeout !== undefined && attempt % 2 === 0 ? true : undefined
    for (let attempt = 1; ; attempt++) {
      const onLate = shortTimeout === undefined || attempt === maxAttempts ? undefined : (answer: Promise<ApiAnswer>): void => { late.push(answer) }
      const answer = await this.gate.send(call, priority, shortTimeout === undefined ? CALL_TIMEOUT : shortTimeout * 2 ** (attempt - 1), { relayed: isRelayed(attempt), onLate })
      const mustResend = answer.type === 'no answer' || (lost > 0 && answer.type !== 'answered')
      if (!mustResend) return { answer, lost: lost > 0 }
      if (answer.type === 'no answer') lost++
      if (attempt >= maxAttempts || (this.gate.isOut && isRelayed(attempt + 1) === undefined)) return await settleLost({ answer, lost, late })
      if (shortTimeout === undefined) await this.pause()
    }
  }

  /** Settles a conflict that may be with an earlier attempt of the same write. A read below `currentVersion`, the version in the conflict, is stale. */
  private async settlePut<T> ({ kind, name, writeId }: Put, currentVersion: number, priority: CallPriority): Promise<Result<StoredObject<T>, StoreError>> {
    const read = await this.read<StoredObject<T> & { writeId?: string }>({ type: 'get', kind, name }, priority)
    if (read.ok && read.val.writeId === writeId) return read
    return Err({ type: 'unknown', reason: read.ok && read.val.version >= currentVersion ? 'no reply came, and the object has been written since' : 'no reply came, and reading back told nothing' })
  }

  private async pause (): Promise<void> {
    await pauseFor(this.clock, this.random.spread(RESEND_PAUSE, 0.5))
  }
}

function readResult<T> (answer: ApiAnswer): Result<T, StoreError> {
  return answer.type === 'answered' && answer.status < REDIRECTION ? Ok(answer.body as T) : Err(readStoreError(answer))
}

/** Settles a write whose last attempt is `answer` and of which `lost` attempts had no answer in time; `late` are the answers that some of these may still get. */
async function settleLost ({ answer, lost, late }: { readonly answer: ApiAnswer, readonly lost: number, readonly late: ReadonlyArray<Promise<ApiAnswer>> }): Promise<WriteOutcome> {
  if (answer.type === 'no answer') return { answer, lost: true }
  const answers = await Promise.all(late)
  const answered = answers.filter(({ type }) => type === 'answered')
  if (answered.length > 0) return { answer: answered.find(isSuccess) ?? answered[0]!, lost: true }
  return { answer, lost: answers.filter(({ type }) => type !== 'no answer').length < lost }
}

function isSuccess (answer: ApiAnswer): boolean {
  return answer.type === 'answered' && answer.status < REDIRECTION
}
