import { build, type Histogram } from 'hdr-histogram-js'
import { Lifecycle, scoped } from 'tsyringe'

const QUANTILES = [50, 95, 99, 99.9] as const
const HIGHEST_VALUE = 3_600_000 // ms
const MICROS_PER_MS = 1_000

type Labels = Readonly<Record<string, string>>

/** Holds the counters, gauges and latency histograms of this daemon, and writes them in the Prometheus text format. */
@scoped(Lifecycle.ContainerScoped)
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly gauges = new Map<string, () => number>()
  private readonly histograms = new Map<string, Histogram>()

  /** Adds to a counter, whose name must end in `_total`. */
  count (name: string, labels: Labels = {}, by = 1): void {
    const key = name + formatLabels(labels)
    this.counters.set(key, (this.counters.get(key) ?? 0) + by)
  }

  /** Registers a gauge, whose value is read whenever the metrics are written. */
  gauge (name: string, read: () => number, labels: Labels = {}): void {
    this.gauges.set(name + formatLabels(labels), read)
  }

  /** Records a time in ms, clamped to the range from 0 to one hour. The name must end in `_ms`. */
  observe (name: string, time: number, labels: Labels = {}): void {
    const key = name + formatLabels(labels)
    const histogram = this.histograms.get(key) ?? build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_VALUE * MICROS_PER_MS, numberOfSignificantValueDigits: 2 })
    this.histograms.set(key, histogram)
    histogram.recordValue(Math.min(Math.max(0, Math.round(time * MICROS_PER_MS)), HIGHEST_VALUE * MICROS_PER_MS))
  }

  /** Returns a percentile of the recorded times, in ms; 0 if there are none. */
  quantile (name: string, percentile: number, labels: Labels = {}): number {
    return (this.histograms.get(name + formatLabels(labels))?.getValueAtPercentile(percentile) ?? 0) / MICROS_PER_MS
  }

  /** Returns all metrics in the Prometheus text format. */
  write (): string {
    const lines = [...this.counters].map(([key, value]) => `${key} ${value}`)
    for (const [key, read] of this.gauges) lines.push(`${key} ${read()}`)
    for (const [key, histogram] of this.histograms) lines.push(...writeHistogram(key, histogram))
    return lines.map(line => `citronwheel_${line}\n`).join('')
  }
}

function writeHistogram (key: string, histogram: Histogram): string[] {
  const [name, labels] = splitKey(key)
  const quantiles = QUANTILES.map(percentile => {
    const allLabels = [labels, `quantile="${percentile / 100}"`].filter(Boolean).join(',')
    return `${name}{${allLabels}} ${histogram.getValueAtPercentile(percentile) / MICROS_PER_MS}`
  })
  return [...quantiles, `${name}_count${labels && `{${labels}}`} ${histogram.totalCount}`]
}

function splitKey (key: string): readonly [string, string] {
  const brace = key.indexOf('{')
  return brace < 0 ? [key, ''] : [key.slice(0, brace), key.slice(brace + 1, -1)]
}

function formatLabels (labels: Labels): string {
  const shown = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return shown.length === 0 ? '' : `{${shown.join(',')}}`
}
