import type { Clock } from '../../src/kernel/clock.js'
import type { ApiAnswer } from '../../src/store/api-answer.js'
import type { ApiCall } from '../../src/store/api-call.js'
import type { ApiTransport } from '../../src/store/api-transport.js'
import { FaultPlan } from '../../stand-ins/platform/fault-plan.js'
import { ObjectTable } from '../../stand-ins/platform/object-table.js'
import type { PlatformFaults } from '../../stand-ins/platform/platform-faults.js'

/** Of each call, ms. */
const LATENCY = 2
const MS_PER_SECOND = 1_000

/** The stand-in platform on virtual time, shared by the clients of a test. */
export class MemoryTransport implements ApiTransport {
  readonly objects = new ObjectTable()
  /** All calls received, and whether the rate limit refused them. */
  readonly calls: Array<{ readonly at: number, readonly type: ApiCall['type'], refused: boolean }> = []
  private plan = new FaultPlan({})
  private second = { at: -1, reads: 0, writes: 0 }

  constructor (private readonly clock: Clock) {}

  setFaults (faults: PlatformFaults): void {
    this.plan = new FaultPlan(faults)
  }

  async send (call: ApiCall, timeout: number): Promise<ApiAnswer> {
    const record = { at: this.clock.now(), type: call.type, refused: false }
    this.calls.push(record)
    const { outage } = this.plan.faults
    await this.pause(outage === 'silent' ? timeout : LATENCY)
    if (outage === 'refused') return { type: 'out', reason: 'outage' }
    if (outage !== undefined) return { type: 'no answer', reason: outage }
    record.refused = this.isOverRate(call)
    if (record.refused) return { type: 'limited', retryAfter: MS_PER_SECOND }
    return call.type === 'put' || call.type === 'delete' ? this.write(call) : this.read(call)
  }

  async close (): Promise<void> {}

  private isOverRate ({ type }: ApiCall): boolean {
    const at = Math.floor(this.clock.now() / MS_PER_SECOND)
    if (this.second.at !== at) this.second = { at, reads: 0, writes: 0 }
    const { writesPerSecond = 400, readsPerSecond = 2_000 } = this.plan.faults
    return type === 'put' || type === 'delete' ? ++this.second.writes > writesPerSecond : ++this.second.reads > readsPerSecond
  }

  private write (call: Extract<ApiCall, { type: 'put' | 'delete' }>): ApiAnswer {
    const run = (): ApiAnswer => {
      const { kind, name, version } = call
      const done = call.type === 'put' ? this.objects.write(kind, name, call.value, version, call.writeId) : this.objects.remove(kind, name, version)
      if (typeof done === 'object' || done === true) return { type: 'answered', status: 200, body: done }
      return { type: 'answered', status: 409, body: { version: this.objects.read(kind, name)?.version ?? 0 } }
    }
    const outcome = this.plan.chooseWriteOutcome()
    if (outcome === 'normal') return run()
    if (outcome === 'delayed') this.clock.after(this.plan.faults.delayedWrites!.delay, run)
    else run()
    return { type: 'no answer', reason: outcome }
  }

  private read (call: Exclude<ApiCall, { type: 'put' | 'delete' }>): ApiAnswer {
    if (call.type !== 'get') return { type: 'answered', status: 200, body: { instances: [], objects: [], changed: [], deleted: [], revision: 0 } }
    const object = this.objects.read(call.kind, call.name)
    return object === undefined ? { type: 'answered', status: 404, body: {} } : { type: 'answered', status: 200, body: object }
  }

  private async pause (time: number): Promise<void> {
    await new Promise<void>(resolve => this.clock.after(time, resolve))
  }
}
