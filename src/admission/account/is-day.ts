/** Returns whether `text` is a calendar day as YYYY-MM-DD. */
export function isDay (text: string): boolean {
  if (!/^\d{4}-\d\d-\d\d$/.test(text)) return false
  const date = new Date(text)
  return !Number.isNaN(date.getTime()) && date.toISOString().startsWith(text)
}
