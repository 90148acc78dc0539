/** Formats the change of a figure in percent; `new` if it was zero before. */
export function formatChange (now: number, before: number): string {
  if (now === before) return '='
  if (before === 0) return 'new'
  const change = Math.round((now / before - 1) * 100)
  return `${change > 0 ? '+' : ''}${change} %`
}
