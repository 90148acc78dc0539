import type { AccountTimes } from '../admission/account/account-times.js'
import { createTimeHistogram } from '../admission/account/create-time-histogram.js'
import type { ServiceTimes } from './service-times.js'

/** Reads the percentiles of the times of each service, sorted by name. */
export function readServiceTimes (times: AccountTimes): readonly ServiceTimes[] {
  return Object.entries(times).sort(([a], [b]) => a < b ? -1 : 1).map(([name, tally]) => {
    const histogram = createTimeHistogram()
    for (const [time, count] of Object.entries(tally)) histogram.recordValueWithCount(Number(time), count)
    const read = (percentile: number): number => histogram.getValueAtPercentile(percentile)
    return { name, count: histogram.totalCount, p50: read(50), p95: read(95), p99: read(99) }
  })
}
