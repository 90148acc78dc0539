/** Daemons up to which each tells all others itself: with more, the messages and links of all grow with the square of their number. */
const MAX_DIRECT_MEMBERS = 12

/** Whether the fleet is so small that each daemon may tell all others itself. */
export function isSmallFleet (members: readonly unknown[]): boolean {
  return members.length <= MAX_DIRECT_MEMBERS
}
