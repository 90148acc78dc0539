/** Largest fleet whose daemons send to all others directly: messages and links grow with the square of its size. */
const MAX_DIRECT_MEMBERS = 12

/** Returns whether each daemon of the fleet broadcasts to all others directly. */
export function isSmallFleet (members: readonly unknown[]): boolean {
  return members.length <= MAX_DIRECT_MEMBERS
}
