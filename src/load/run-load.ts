import { performance } from 'node:perf_hooks'
import type { Dispatcher } from 'undici'
import { createAgent } from '../http/create-agent.js'
import type { Arrival } from './arrival.js'
import type { LoadOutcome } from './load-outcome.js'
import { sendArrival } from './send-arrival.js'

const TICK_PERIOD = 2 // ms
const MS_PER_SECOND = 1_000

/** `urls` is called for each attempt, so that addresses may change during a run. */
interface LoadOptions {
  readonly urls: () => readonly string[]
  readonly model: string
  /** Most attempts for one request; above 1, callers retry after any outcome but `answered`. */
  readonly maxAttempts?: number
}

/**
 * Sends planned requests at their times, whether or not earlier ones have been answered (an open loop, in which a slow
 * system gets no less load), over the entry addresses in turn. Resolves to all outcomes.
 */
export async function runLoad (arrivals: readonly Arrival[], options: LoadOptions): Promise<readonly LoadOutcome[]> {
  const dispatcher = createAgent({ connections: 512, keepAliveTimeout: 1_000 })
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

/** Sends a request until it is answered or its attempts are used up; returns the last outcome, with times from the first attempt. */
async function sendUntilAnswered (arrival: Arrival, turn: number, { urls, model, maxAttempts = 1 }: LoadOptions, dispatcher: Dispatcher): Promise<LoadOutcome> {
  const start = performance.now()
  for (let attempt = 1; ; attempt++) {
    const addresses = urls()
    const outcome = await sendArrival(arrival, { url: addresses[(turn + attempt) % addresses.length]!, model, dispatcher })
    const before = performance.now() - start - outcome.total
    const wholeOutcome = { ...outcome, sends: attempt, total: outcome.total + before, ...(outcome.firstToken === undefined ? {} : { firstToken: outcome.firstToken + before }) }
    if (outcome.outcome === 'answered' || attempt >= maxAttempts) return wholeOutcome
    await new Promise(resolve => setTimeout(resolve, (outcome.retryAfter ?? 0) * MS_PER_SECOND))
  }
}
