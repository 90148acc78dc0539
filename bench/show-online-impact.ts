import type { PolicyReport } from './policy-report.js'
import type { Ratio } from './ratio.js'

/** Returns one line per policy: its ratios to (a), with confidence intervals. */
export function showOnlineImpact ({ site, harm }: PolicyReport): readonly string[] {
  return harm.filter(({ letter }) => letter !== 'a').map(({ letter, firstTokenP99, firstTokenP999, betweenTokensP99 }) => {
    return `${site} (${letter}) over (a): first token p99 ${show(firstTokenP99)}, p99.9 ${show(firstTokenP999)}, between tokens p99 ${show(betweenTokensP99)}`
  })
}

function show ({ value, low, high }: Ratio): string {
  return `${value.toFixed(3)} (95 %: ${low.toFixed(3)} to ${high.toFixed(3)})`
}
