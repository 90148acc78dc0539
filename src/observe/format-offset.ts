/** Formats a time relative to the start of a timeline, ms: `+12.0`, or `-3.0` where clocks differ. */
export function formatOffset (time: number): string {
  return `${time < 0 ? '' : '+'}${time.toFixed(1)}`
}
