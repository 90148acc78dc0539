import { Random } from '../src/kernel/random.js'
import type { OnlineSample } from './online-sample.js'
import type { Ratio } from './ratio.js'

const RESAMPLES = 400
const SEED = 1
const TAIL = 0.025

interface RatioOptions {
  readonly quantile: number
  readonly pick: (sample: OnlineSample) => readonly number[]
}

/**
 * Estimates the ratio of a quantile to that of `base`, with a bootstrap interval (Efron, 1979). Resamples blocks of one
 * second, the same for both: latencies within a burst are correlated, and single requests would make the interval too narrow.
 */
export function estimateRatio (samples: readonly OnlineSample[], base: readonly OnlineSample[], options: RatioOptions): Ratio {
  const blocks = [...new Set([...samples, ...base].map(({ block }) => block))]
  const [values, baseValues] = [rankValues(samples, blocks, options), rankValues(base, blocks, options)]
  const random = new Random(SEED)
  const readRatio = (weights: readonly number[]): number => readQuantile(values, weights, options.quantile) / readQuantile(baseValues, weights, options.quantile)
  const ratios = Array.from({ length: RESAMPLES }, () => readRatio(drawWeights(blocks.length, random))).sort((a, b) => a - b)
  return { value: readRatio(blocks.map(() => 1)), low: ratios[Math.floor(TAIL * RESAMPLES)]!, high: ratios[Math.ceil((1 - TAIL) * RESAMPLES) - 1]! }
}

/** A value and the index of its block. */
interface Ranked { readonly value: number, readonly block: number }

function rankValues (samples: readonly OnlineSample[], blocks: readonly string[], { pick }: RatioOptions): readonly Ranked[] {
  const indexes = new Map(blocks.map((block, i) => [block, i]))
  return samples.flatMap(sample => pick(sample).map(value => ({ value, block: indexes.get(sample.block)! }))).sort((a, b) => a.value - b.value)
}

/** Draws `count` blocks with replacement and returns how often each was drawn. */
function drawWeights (count: number, random: Random): readonly number[] {
  const weights = new Array<number>(count).fill(0)
  for (let i = 0; i < count; i++) weights[random.below(count)]!++
  return weights
}

/** Returns the smallest value at or below which lies at least `quantile` of the weight. */
function readQuantile (ranked: readonly Ranked[], weights: readonly number[], quantile: number): number {
  const needed = quantile * ranked.reduce((sum, { block }) => sum + weights[block]!, 0)
  let reached = 0
  for (const { value, block } of ranked) {
    reached += weights[block]!
    if (reached >= needed) return value
  }
  return NaN
}
