/** The exit codes of every command. */
export const exitCodes = {
  ok: 0,
  /** The daemon or the platform refused, or a check found something. */
  refused: 1,
  /** The words, the settings or the files given are wrong. */
  usage: 2,
  /** No daemon answered. */
  unreachable: 3
} as const
