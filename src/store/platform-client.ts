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
import type { ObjectStore } from './object-store.js'
import { readStoreError } from './read-store-error.js'
import type { StoreError } from './store-error.js'
import type { StoredObject } from './stored-object.js'
import type { WatchBatch } from './watch-batch.js'

const CALL_TIMEOUT = 2_000
const WATCH_SLACK = 1_000
const MAX_SENDS = 3
/** Sendings of a caller's write where its timeout begins short and doubles. */
const MAX_CALLER_SENDS = 4
const RESEND_PAUSE = 100
const CONFLICT = 409
const REDIRECTION = 300

interface PlatformClientOptions {
  readonly clock?: Clock
  readonly random?: Random
  readonly metrics?: Metrics
  /**
   * The first timeout of a caller's call, ms, which doubles with each sending; the same as for all calls where it is left out.
   * For callers who wait for some hundred ms: a reply that was lost would take all of that and more, and a store that is
   * merely slow answers a later sending. Short, it takes a store that lacks processor time for one that lost its reply.
   */
  readonly callerTimeout?: number
  /** Longest pause between two probes of a store that doesn't answer, ms. */
  readonly maxProbeDelay?: number
  /** What the platform serves to all daemons together, calls a second, where that is known. */
  readonly fleetRates?: { readonly reads: number, readonly writes: number }
  /** Ids of writes; unique in the fleet for ever. */
  readonly createId?: () => string
}

type Put = Extract<ApiCall, { type: 'put' }>

/**
 * The platform's object API with what its failures ask for: a budget of calls, a circuit for outages, and a truthful
 * end to writes whose reply is lost.
 *
 * A write without an answer may have taken effect, or may land later. It is sent again with the same id: as it is
 * conditional, at most one of the sendings takes effect, and once one has, none can land any more. A conflict after
 * that is settled by the id stored with the object: ours, and it was written; another's, and nobody can tell whether
 * ours came before it, so that the outcome is `unknown`. Where no sending is answered it is `unknown` as well.
 * `conflict`, `limited` and `unavailable` are said only of writes that have not taken effect and never will.
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

  /** Another way to the platform for callers' calls: by a peer that sends them with `sendDirect`. */
  useRelay (relay: Parameters<CallGate['useRelay']>[0]): void {
    this.gate.useRelay(relay)
  }

  /** How many daemons share what the platform serves. */
  useFleet (count: () => number): void {
    this.gate.useFleet(count)
  }

  /** Sends another daemon's call once, straight to the platform. */
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

  /** After a lost reply an object that is gone counts as deleted, whoever deleted it. */
  async delete (kind: string, name: string, version: number, priority: CallPriority = 'background'): Promise<Result<void, StoreError>> {
    const { answer, lost } = await this.sendWrite({ type: 'delete', kind, name, version }, priority)
    if (answer.type === 'answered' && answer.status < REDIRECTION) return Ok(undefined)
    if (!lost) return readResult<undefined>(answer)
    if (answer.type === 'answered' && answer.status === CONFLICT && answer.body.version === 0) return Ok(undefined)
    return Err({ type: 'unknown', reason: 'no reply came, or the object has been written since' })
  }

  async list<T> (kind: string, { prefix = '', after = '', limit = 500 } = {}): Promise<Result<readonly StoredObject<T>[], StoreError>> {
    return (await this.read<{ objects: StoredObject<T>[] }>({ type: 'list', kind, prefix, after, limit }, 'background')).map(({ objects }) => objects)
  }

  /** A watch that fails is resumed by calling it again with the last revision. */
  async watch<T> (kind: string, revision: number, wait: number, priority: CallPriority = 'background'): Promise<Result<WatchBatch<T>, StoreError>> {
    return readResult(await this.gate.sendDirect({ type: 'watch', kind, revision, wait }, priority, wait + WATCH_SLACK))
  }

  async listInstances (): Promise<Result<readonly Instance[], StoreError>> {
    return (await this.read<{ instances: Instance[] }>({ type: 'instances' }, 'background')).map(({ instances }) => instances)
  }

  async close (): Promise<void> {
    this.gate.close()
    await this.transport.close()
  }

  /** A read without an answer is sent once more. */
  private async read<T> (call: ApiCall, priority: CallPriority): Promise<Result<T, StoreError>> {
    const shortTimeout = priority === 'caller' ? this.callerTimeout : undefined
    const answer = await this.gate.send(call, priority, shortTimeout === undefined ? CALL_TIMEOUT : 2 * shortTimeout)
    if (answer.type !== 'no answer') return readResult<T>(answer)
    if (shortTimeout === undefined) await this.pause()
    return readResult<T>(await this.gate.send(call, priority, CALL_TIMEOUT, { relayed: shortTimeout !== undefined || undefined }))
  }

  /** Sends a write until it is answered, a caller's in turn straight and by way of a peer; `lost` says that an earlier sending may have taken effect. */
  private async sendWrite (call: ApiCall, priority: CallPriority): Promise<{ readonly answer: ApiAnswer, readonly lost: boolean }> {
    let lost = false
    const shortTimeout = priority === 'caller' ? this.callerTimeout : undefined
    const isRelayed = (send: number): boolean | undefined => shortTimeout !== undefined && send % 2 === 0 ? true : undefined
    for (let sends = 1; ; sends++) {
      const answer = await this.gate.send(call, priority, shortTimeout === undefined ? CALL_TIMEOUT : shortTimeout * 2 ** (sends - 1), { relayed: isRelayed(sends) })
      const mustResend = answer.type === 'no answer' || (lost && answer.type !== 'answered')
      if (!mustResend) return { answer, lost }
      lost = true
      const isLast = sends >= (shortTimeout === undefined ? MAX_SENDS : MAX_CALLER_SENDS)
      if (isLast || (this.gate.isOut && isRelayed(sends + 1) === undefined)) return { answer, lost }
      if (shortTimeout === undefined) await this.pause()
    }
  }

  /** `present` is the version that our write met; a read with a lower one is old and tells nothing. */
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
