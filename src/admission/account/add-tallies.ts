/** Returns the sums of two tallies; with `sign` -1 their differences. Zeros are left out. */
export function addTallies (a: Readonly<Record<string, number>>, b: Readonly<Record<string, number>>, sign: 1 | -1 = 1): Readonly<Record<string, number>> {
  const sum: Record<string, number> = { ...a }
  for (const [name, count] of Object.entries(b)) {
    const next = (sum[name] ?? 0) + sign * count
    if (next === 0) delete sum[name]
    else sum[name] = next
  }
  return sum
}
