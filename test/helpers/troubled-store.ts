import type { StoredObject } from '../../src/store/stored-object.js'
import type { Clock } from '../../src/kernel/clock.js'
import type { ApiAnswer } from '../../src/store/api-answer.js'
import type { ApiCall } from '../../src/store/api-call.js'
import type { ApiTransport } from '../../src/store/api-transport.js'
import type { Instance } from '../../src/store/instance.js'
import { ObjectTable } from '../../stand-ins/platform/object-table.js'
import type { VirtualClock } from './virtual-clock.js'
import { waitForChange } from './wait-for-change.js'

/** Of each call, ms. */
const LATENCY = 4
const PAGE = 500

/**
 * - `silent`: calls aren't answered, and watches that are pending at its beginning never end.
 * - `busy`, `limited`, `reset`: calls are refused with 503 or 429, or cut; pending watches are cut.
 * - `slow`: answers take `delay` ms.
 * - `lost`: calls take effect, and their answers are lost; watches pending at its beginning are never answered.
 * - `late`: writes aren't answered and take effect after `delay` ms if their condition holds then, also if their sender has ended; reads are served.
 * - `mute`: watches that are pending at its beginning never end; other calls are served.
 * - `dropped`: pending watches hear nothing until its end, when they are cut and the history before it is gone.
 */
export type TroubleType = 'silent' | 'busy' | 'limited' | 'reset' | 'slow' | 'lost' | 'late' | 'mute' | 'dropped'

export interface Trouble {
  readonly type: TroubleType
  /** Beginning and end, ms. */
  readonly from: number
  readonly to: number
  /** Whether it hits a daemon; all if omitted. */
  readonly hits?: (daemon: string) => boolean
  /** The only kind of object that it concerns; all if omitted. */
  readonly kind?: string
  /** Delay of answers of a slow store, or of the effect of a late write, ms. */
  readonly delay?: number
}

/** The users' object store on virtual time, with troubles that concern all daemons or some. */
export class TroubledStore {
  readonly objects = new ObjectTable()
  readonly troubles: Trouble[] = []
  /** The calls that reached the network. */
  readonly calls: Array<{ readonly at: number, readonly daemon: string, readonly type: ApiCall['type'], readonly kind: string }> = []
  /** The platform's instances. */
  readonly instances: Instance[] = []
  private oldestRevision = 0

  constructor (private readonly clock: VirtualClock) {}

  /** Returns a daemon's way to the store; timeouts run by the daemon's clock. */
  connect (daemon: string, clock: Clock): ApiTransport {
    return {
      send: async (call: ApiCall, timeout: number, signal?: AbortSignal) => {
        this.calls.push({ at: this.clock.now(), daemon, type: call.type, kind: 'kind' in call ? call.kind : '' })
        return await new Promise<ApiAnswer>(resolve => {
          clock.after(timeout, () => resolve({ type: 'no answer', reason: 'timeout' }))
          signal?.addEventListener('abort', () => resolve({ type: 'no answer', reason: 'aborted' }), { once: true })
          void this.answer(daemon, call).then(answer => clock.after(0, () => resolve(answer)))
        })
      },
      close: async () => {}
    }
  }

  /** Writes an object as another system does, at once. */
  put (kind: string, name: string, value: unknown): void {
    this.objects.write(kind, name, value, this.objects.read(kind, name)?.version ?? 0)
  }

  remove (kind: string, name: string): void {
    this.objects.remove(kind, name, this.objects.read(kind, name)?.version ?? 0)
  }

  private async answer (daemon: string, call: ApiCall): Promise<ApiAnswer> {
    const kind = 'kind' in call ? call.kind : ''
    const trouble = this.find(daemon, kind)
    await this.pause(trouble?.type === 'slow' ? trouble.delay! : LATENCY)
    switch (trouble?.type) {
      case 'busy': return { type: 'out', reason: 'busy' }
      case 'limited': return { type: 'limited', retryAfter: 1_000 }
      case 'reset': return { type: 'no answer', reason: 'reset' }
      case 'silent': return await never()
      case 'late': {
        if (call.type !== 'put' && call.type !== 'delete') return this.run(call)
        await this.pause(trouble.delay!)
        this.run(call)
        return await never()
      }
      case 'lost': case 'slow': case 'mute': case 'dropped': case undefined: {
        const answer = call.type === 'watch' && call.revision >= 0 ? await this.watch(daemon, call) : this.run(call)
        return trouble?.type === 'lost' ? await never() : answer
      }
    }
  }

  private async watch (daemon: string, { kind, revision, wait }: Extract<ApiCall, { type: 'watch' }>): Promise<ApiAnswer> {
    const began = this.clock.now()
    for (let isQuiet = false; ;) {
      const now = this.clock.now()
      const begun = this.troubles.find(trouble => trouble.from > began && trouble.from <= now && hits(trouble, daemon, kind))
      if (begun?.type === 'silent' || begun?.type === 'lost' || begun?.type === 'mute') return await never()
      if (begun?.type === 'busy' || begun?.type === 'limited' || begun?.type === 'reset') return { type: 'no answer', reason: 'cut' }
      isQuiet = begun?.type === 'dropped'
      if (isQuiet && now >= begun!.to) return { type: 'no answer', reason: 'cut' }
      if (revision < this.findOldest()) return this.run({ type: 'watch', kind, revision: -1, wait: 0 })
      const { changed, deleted } = this.objects.changesSince(kind, revision)
      if (!isQuiet && (changed.length + deleted.length > 0 || now >= began + wait)) return { type: 'answered', status: 200, body: { revision: this.objects.revision, changed, deleted } }
      await waitForChange(this.objects, kind, { clock: this.clock, time: Math.min(100, Math.max(1, began + wait - now)) })
    }
  }

  private run (call: ApiCall): ApiAnswer {
    const { objects } = this
    switch (call.type) {
      case 'get': {
        const object = objects.read(call.kind, call.name)
        return object === undefined ? { type: 'answered', status: 404, body: {} } : { type: 'answered', status: 200, body: object }
      }
      case 'put': {
        const written = objects.write(call.kind, call.name, call.value, call.version, call.writeId)
        return typeof written === 'number' ? { type: 'answered', status: 409, body: { version: written } } : { type: 'answered', status: 200, body: written }
      }
      case 'delete': return { type: 'answered', status: objects.remove(call.kind, call.name, call.version) ? 200 : 409, body: { version: 0 } }
      case 'list': return { type: 'answered', status: 200, body: showPage(objects.list(call.kind, call.prefix, call.after, Math.min(call.limit, PAGE) + 1), Math.min(call.limit, PAGE)) }
      case 'watch': return { type: 'answered', status: 200, body: { revision: objects.revision, changed: objects.list(call.kind, '', '', Infinity), deleted: [], whole: true } }
      case 'put status': case 'instances': return { type: 'answered', status: 200, body: { instances: [...this.instances] } }
    }
  }

  private find (daemon: string, kind: string): Trouble | undefined {
    const now = this.clock.now()
    return this.troubles.find(trouble => trouble.from <= now && now < trouble.to && trouble.type !== 'mute' && trouble.type !== 'dropped' && hits(trouble, daemon, kind))
  }

  /** The revision before which no watch can resume. */
  private findOldest (): number {
    const ended = this.troubles.some(({ type, to }) => type === 'dropped' && to <= this.clock.now())
    if (ended && this.oldestRevision === 0) this.oldestRevision = this.objects.revision
    return this.oldestRevision
  }

  private async pause (time: number): Promise<void> {
    await new Promise<void>(resolve => { this.clock.after(time, resolve) })
  }
}

function hits ({ hits, kind: only }: Trouble, daemon: string, kind: string): boolean {
  return (hits?.(daemon) ?? true) && (only === undefined || only === kind)
}

async function never (): Promise<never> {
  return await new Promise<never>(() => {})
}

function showPage (objects: readonly StoredObject[], limit: number): unknown {
  return { objects: objects.slice(0, limit), isLast: objects.length <= limit }
}
