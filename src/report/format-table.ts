/** Formats a table as text, with the first column left-aligned and the others right-aligned. */
export function formatTable (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const widths = head.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]!.length)))
  const format = (cells: readonly string[]): string => cells.map((cell, i) => i === 0 ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!)).join('  ').trimEnd()
  return [head, ...rows].map(format).join('\n')
}
