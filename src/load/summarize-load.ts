import { build } from 'hdr-histogram-js'
import type { LoadOutcome } from './load-outcome.js'
import type { LoadSummary } from './load-summary.js'

const MICROS_PER_MS = 1_000

/** Summarizes the outcomes of a load run. `firstToken` and `betweenTokens` cover streamed answers only. */
export function summarizeLoad (outcomes: readonly LoadOutcome[]): LoadSummary {
  const refused: Record<string, number> = {}
  for (const { outcome, cause = 'unknown' } of outcomes) if (outcome === 'refused') refused[cause] = (refused[cause] ?? 0) + 1
  const streamed = outcomes.filter(({ outcome, gaps }) => outcome === 'answered' && gaps !== undefined)
  return {
    asked: outcomes.length,
    answered: outcomes.filter(({ outcome }) => outcome === 'answered').length,
    refused,
    cut: outcomes.filter(({ outcome }) => outcome === 'cut').length,
    lost: outcomes.filter(({ outcome }) => outcome === 'lost').length,
    firstToken: readQuantiles(streamed.map(({ firstToken }) => firstToken!)),
    betweenTokens: readQuantiles(streamed.flatMap(({ gaps }) => gaps!)),
    refusalTime: readQuantiles(outcomes.filter(({ outcome }) => outcome === 'refused').map(({ total }) => total))
  }
}

function readQuantiles (times: readonly number[]): LoadSummary['firstToken'] {
  const histogram = build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 3_600_000_000 })
  for (const time of times) histogram.recordValue(Math.max(0, Math.round(time * MICROS_PER_MS)))
  const read = (percentile: number): number => times.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
  return { p50: read(50), p95: read(95), p99: read(99), p999: read(99.9) }
}
