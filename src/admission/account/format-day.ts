/** Formats the UTC day of a wall-clock time in ms as YYYY-MM-DD. */
export function formatDay (date: number): string {
  return new Date(date).toISOString().slice(0, 10)
}
