/** Exit codes of all commands. */
export const exitCodes = {
  ok: 0,
  /** The daemon or the platform refused, a check has findings, or the requested object doesn't exist. */
  refused: 1,
  /** The arguments, settings or files are invalid. */
  usage: 2,
  /** No daemon answered. */
  unreachable: 3,
  /** Another operator's change was accepted first; nothing was changed. */
  conflict: 4,
  /** The change is accepted but not active on all daemons yet. */
  behind: 5,
  /** It is unknown whether the change took effect. */
  unknown: 6
} as const
