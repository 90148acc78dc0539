import { escapeHtml } from './escape-html.js'

/** All dimensions in px. */
const BARS_WIDTH = 450
const VALUE_WIDTH = 90
const LABEL_WIDTH = 190
const BAR_HEIGHT = 20
const GAP = 8
const COLOURS = ['#36c', '#6ab', '#c73', '#a36'] as const

/** Draws a horizontal bar chart as SVG: one group per row, with a labelled bar per series. */
export function drawBars (title: string, { rows, series, unit, labelWidth = LABEL_WIDTH }: {
  readonly rows: readonly { readonly label: string, readonly values: readonly number[] }[]
  readonly series: readonly string[]
  readonly unit: string
  /** Width reserved for the labels of the rows, px. */
  readonly labelWidth?: number
}): string {
  const highest = Math.max(1e-9, ...rows.flatMap(({ values }) => values))
  const group = series.length * BAR_HEIGHT + GAP
  const height = 50 + rows.length * group
  const bars = rows.flatMap(({ label, values }, row) => [
    `<text x="0" y="${50 + row * group + BAR_HEIGHT}">${escapeHtml(label)}</text>`,
    ...values.map((value, i) => {
      const y = 50 + row * group + i * BAR_HEIGHT
      const width = value / highest * (BARS_WIDTH - VALUE_WIDTH)
      return `<rect x="${labelWidth}" y="${y}" width="${width.toFixed(1)}" height="${BAR_HEIGHT - 3}" fill="${COLOURS[i % COLOURS.length]}"/>` +
        `<text x="${(labelWidth + width + 5).toFixed(1)}" y="${y + BAR_HEIGHT - 7}">${Number(value.toPrecision(4))} ${escapeHtml(unit)}</text>`
    })
  ])
  const legend = series.map((name, i) => `<tspan fill="${COLOURS[i % COLOURS.length]}">${escapeHtml(name)}  </tspan>`).join('')
  return `<svg width="${labelWidth + BARS_WIDTH}" height="${height}"><text x="0" y="16" font-weight="bold">${escapeHtml(title)}</text><text x="0" y="36">${legend}</text>${bars.join('')}</svg>`
}
