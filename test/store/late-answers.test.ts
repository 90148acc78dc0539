import 'reflect-metadata'
import test from 'ava'
import fc from 'fast-check'
import { Random } from '../../src/kernel/random.js'
import { Metrics } from '../../src/observe/metrics.js'
import type { ApiAnswer } from '../../src/store/api-answer.js'
import type { ApiCall } from '../../src/store/api-call.js'
import type { ApiTransport } from '../../src/store/api-transport.js'
import { PlatformClient } from '../../src/store/platform-client.js'
import { ObjectTable } from '../../stand-ins/platform/object-table.js'
import { VirtualClock } from '../helpers/virtual-clock.js'

const CALLER_TIMEOUT = 250
/** Longest time of a caller's write, ms: the timeouts of its four attempts. */
const LONGEST_WRITE = 3_750
/** Longest time of the read that settles a conflict with an earlier attempt, ms: its two timeouts. */
const LONGEST_READ = 2_500
const STEP = 5

/** What becomes of a call: `refused` has no effect; `lost` takes effect and isn't answered; `later` takes effect long after its attempt has ended. */
interface Fate { readonly type: 'answered' | 'refused' | 'lost' | 'later', readonly delay: number }

/** A platform that treats the calls after each other as `fates` says, and all further ones like the last of these. */
class FatedTransport implements ApiTransport {
  readonly objects = new ObjectTable()
  private calls = 0

  constructor (private readonly clock: VirtualClock, private readonly fates: readonly Fate[]) {}

  async send (call: ApiCall, timeout: number, signal?: AbortSignal): Promise<ApiAnswer> {
    const { type, delay } = this.fates[Math.min(this.calls++, this.fates.length - 1)]!
    return await new Promise<ApiAnswer>(resolve => {
      const giveUp = (): void => resolve({ type: 'no answer', reason: 'no answer in time' })
      this.clock.after(timeout, giveUp)
      signal?.addEventListener('abort', giveUp)
      if (type === 'later') this.clock.after(20_000 + delay, () => { this.run(call) })
      else {
        this.clock.after(delay, () => {
          const answer = type === 'refused' ? { type: 'out', reason: 'refused' } as const : this.run(call)
          if (type !== 'lost') resolve(answer)
        })
      }
    })
  }

  async close (): Promise<void> {}

  private run (call: ApiCall): ApiAnswer {
    if (call.type === 'get') {
      const object = this.objects.read(call.kind, call.name)
      return { type: 'answered', status: object === undefined ? 404 : 200, body: object ?? {} }
    }
    if (call.type !== 'put') throw new Error('only reads and writes')
    const done = this.objects.write(call.kind, call.name, call.value, call.version, call.writeId)
    return typeof done === 'object' ? { type: 'answered', status: 200, body: done } : { type: 'answered', status: 409, body: { version: this.objects.read(call.kind, call.name)?.version ?? 0 } }
  }
}

/** Writes an object once; `time` is how long it took, `stored` whether any attempt has taken effect in the end. */
async function write (fates: readonly Fate[]): Promise<{ readonly outcome: string, readonly time: number, readonly stored: boolean }> {
  const clock = new VirtualClock()
  const platform = new FatedTransport(clock, fates)
  const client = new PlatformClient(platform, { clock, random: new Random(1), metrics: new Metrics(), callerTimeout: CALLER_TIMEOUT, createId: () => 'w' })
  const ends: Array<{ readonly outcome: string, readonly time: number }> = []
  const began = clock.now()
  void client.put('jobs', 'a', 'value', 0, 'caller').then(result => ends.push({ outcome: result.ok ? 'written' : result.val.type, time: clock.now() - began }))
  while (ends.length === 0) await clock.advance(STEP)
  await clock.advance(60_000)
  return { ...ends[0]!, stored: platform.objects.read('jobs', 'a') !== undefined }
}

// The store refuses a write, but only after the attempt's timeout, and refuses the further attempts at once. Guards against an outcome
// left open, for which the caller of a job would get 502, though nothing was written.
test('a write all of whose attempts were refused is refused, also where a refusal comes late', async t => {
  const { outcome, time, stored } = await write([{ type: 'refused', delay: 400 }, { type: 'refused', delay: 2 }])
  t.deepEqual([outcome, stored], ['unavailable', false])
  t.true(time < 500, `${time} ms`)
})

// Guards against a write that is reported as failed or open though its late answer says that it is done.
test('a write whose late answer says that it is done is done', async t => {
  const { outcome } = await write([{ type: 'answered', delay: 400 }, { type: 'refused', delay: 2 }])
  t.is(outcome, 'written')
})

// Guards against a refusal of a write that takes effect later.
test('a write of which one attempt is never answered stays unknown', async t => {
  const { outcome, time, stored } = await write([{ type: 'later', delay: 0 }, { type: 'refused', delay: 2 }])
  t.deepEqual([outcome, stored], ['unknown', true])
  t.true(time <= LONGEST_WRITE, `${time} ms`)
})

// Guards, for any course of the attempts, against an outcome that isn't true, and against a write that takes longer than its attempts' timeouts.
test('the outcome of a caller\'s write is true whatever its attempts meet', async t => {
  const fate = fc.record({ type: fc.constantFrom<Fate['type']>('answered', 'refused', 'lost', 'later'), delay: fc.integer({ min: 1, max: 2_500 }) })
  await fc.assert(fc.asyncProperty(fc.array(fate, { minLength: 1, maxLength: 6 }), async fates => {
    const { outcome, time, stored } = await write(fates)
    const isTrue = outcome === 'written' ? stored : outcome === 'unknown' || !stored
    if (!isTrue || time > LONGEST_WRITE + LONGEST_READ) throw new Error(JSON.stringify({ outcome, time, stored }))
  }), { numRuns: 300, seed: 25 })
  t.pass()
})
