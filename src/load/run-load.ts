import { performance } from 'node:perf_hooks'
import { Agent, type Dispatcher } from 'undici'
import type { Arrival } from './arrival.js'
import type { LoadOutcome } from './load-outcome.js'
import { sendArrival } from './send-arrival.js'

const TICK_PERIOD = 2
const MS_PER_SECOND = 1_000

/** How a load run is sent. `urls` is asked for each request, so that addresses may change on the way. */
interface LoadOptions {
  readonly urls: () => readonly string[]
  readonly model: string
  /** Most times one request is sent; above 1, callers send again after a lost connection or a refusal. */
  readonly sends?: number
}

/**
 * Sends planned requests at their times, whether or not earlier ones have been answered (an open loop: a slow system
 * doesn't get less load), spread over the entry addresses in turn. Resolves with all outcomes.
 */
export async function runLoad (arrivals: readonly Arrival[], options: LoadOptions): Promise<readonly LoadOutcome[]> {
  const dispatcher = new Agent({ connections: 512, keepAliveTimeout: 1_000 })
  const start = performance.now()
  const sent: Promise<LoadOutcome>[] = []
  await new Promise<void>(resolve => {
    const timer = setInterval(() => {
      const now = performance.now() - start
      while (sent.length < arrivals.length && arrivals[sent.length]!.at <= now) {
        sent.push(sendUntilAnswered(arrivals[sent.length]!, sent.length, options, dispatcher))
      }
      if (sent.length < arrivals.length) return
      clearInterval(timer)
      resolve()
    }, TICK_PERIOD)
  })
  const outcomes = await Promise.all(sent)
  await dispatcher.destroy()
  return outcomes
}

/** The last outcome of a request that is sent until it is answered or its sends are used up. */
async function sendUntilAnswered (arrival: Arrival, turn: number, { urls, model, sends = 1 }: LoadOptions, dispatcher: Dispatcher): Promise<LoadOutcome> {
  const start = performance.now()
  for (let send = 1; ; send++) {
    const addresses = urls()
    const outcome = await sendArrival(arrival, { url: addresses[(turn + send) % addresses.length]!, model, dispatcher })
    const before = performance.now() - start - outcome.total
    const whole = { ...outcome, sends: send, total: outcome.total + before, ...(outcome.firstToken === undefined ? {} : { firstToken: outcome.firstToken + before }) }
    if (outcome.outcome === 'answered' || send >= sends) return whole
    await new Promise(resolve => setTimeout(resolve, (outcome.retryAfter ?? 0) * MS_PER_SECOND))
  }
}
