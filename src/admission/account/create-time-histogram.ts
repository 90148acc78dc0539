import { Float64Histogram } from 'hdr-histogram-js'

/** One day, ms. */
const HIGHEST_TIME = 86_400_000

/**
 * Creates the histogram for the times of the account, ms. With one significant digit, buckets are exact below 32 ms and at most
 * a sixteenth wide above: some 150 of them from a millisecond to ten seconds, about 1.5 kB of JSON.
 */
export function createTimeHistogram (): Float64Histogram {
  return new Float64Histogram(1, HIGHEST_TIME, 1)
}
