import { Random } from '../kernel/random.js'
import type { Arrival } from './arrival.js'
import type { LoadPlan } from './load-plan.js'

const MS_PER_SECOND = 1_000

/**
 * Generates the arrivals of a plan: a Poisson process whose rate changes during bursts. The same plan gives the same
 * arrivals, so that runs can be compared under the same load.
 */
export function planArrivals (plan: LoadPlan): readonly Arrival[] {
  const random = new Random(plan.seed)
  const highest = Math.max(plan.rate, plan.burst.rate)
  const arrivals: Arrival[] = []
  if (highest <= 0) return arrivals
  const drawInterval = (): number => -Math.log(1 - random.next()) * MS_PER_SECOND / highest
  for (let at = drawInterval(); at < plan.duration; at += drawInterval()) {
    // Thinning: draws candidates at the highest rate and keeps each with the probability of the rate at that time.
    if (random.next() < readRate(plan, at) / highest) arrivals.push(planArrival(plan, at, arrivals.length, random))
  }
  return arrivals
}

function readRate ({ rate, burst }: LoadPlan, at: number): number {
  const inBurst = burst.every > 0 && at % burst.every >= burst.every - burst.length
  return inBurst ? burst.rate : rate
}

function planArrival (plan: LoadPlan, at: number, index: number, random: Random): Arrival {
  const id = `load-${plan.seed}-${index}`
  const words = Array.from({ length: chooseBetween(plan.promptWords, random) }, (_, i) => `word${(index * 7 + i) % 97}`)
  return {
    at,
    id,
    caller: plan.callers[random.below(plan.callers.length)]!,
    prompt: `${id} ${words.join(' ')}`,
    tokens: chooseBetween(plan.tokens, random),
    stream: random.next() < plan.streamed
  }
}

function chooseBetween ([low, high]: readonly [number, number], random: Random): number {
  return low + random.below(high - low + 1)
}
