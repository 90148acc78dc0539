/** The exit codes of every command. */
export const exitCodes = {
  ok: 0,
  /** The daemon or the platform refused, a check found something, or what was asked for isn't there. */
  refused: 1,
  /** The words, the settings or the files given are wrong. */
  usage: 2,
  /** No daemon answered. */
  unreachable: 3,
  /** Another operator's change came first; nothing was changed. */
  conflict: 4,
  /** The change is accepted, but some daemons don't act on it yet. */
  behind: 5,
  /** It isn't known whether the change took effect. */
  unknown: 6
} as const
