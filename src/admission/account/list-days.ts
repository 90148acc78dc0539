/** Lists the days from `since` to `until`, both included, as YYYY-MM-DD. */
export function listDays (since: string, until: string): readonly string[] {
  const days: string[] = []
  for (let date = Date.parse(since); date <= Date.parse(until); date += 86_400_000) days.push(new Date(date).toISOString().slice(0, 10))
  return days
}
