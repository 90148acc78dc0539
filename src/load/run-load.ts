import { performance } from 'node:perf_hooks'
import { Agent } from 'undici'
import type { Arrival } from './arrival.js'
import type { LoadOutcome } from './load-outcome.js'
import { sendArrival } from './send-arrival.js'

const SLOT = 2

/**
 * Sends planned requests at their times, whether or not earlier ones have been answered (an open loop: a slow system
 * doesn't get less load), spread over the entry addresses in turn. Resolves with all outcomes.
 */
export async function runLoad (arrivals: readonly Arrival[], { urls, model }: { readonly urls: () => readonly string[], readonly model: string }): Promise<readonly LoadOutcome[]> {
  const dispatcher = new Agent({ connections: 512, keepAliveTimeout: 1_000 })
  const start = performance.now()
  const sent: Promise<LoadOutcome>[] = []
  await new Promise<void>(resolve => {
    let next = 0
    const timer = setInterval(() => {
      const now = performance.now() - start
      while (next < arrivals.length && arrivals[next]!.at <= now) {
        const known = urls()
        sent.push(sendArrival(arrivals[next]!, { url: known[next % known.length]!, model, dispatcher }))
        next++
      }
      if (next < arrivals.length) return
      clearInterval(timer)
      resolve()
    }, SLOT)
  })
  const outcomes = await Promise.all(sent)
  await dispatcher.destroy()
  return outcomes
}
