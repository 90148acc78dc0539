import type { LogLine } from './log-line.js'

/** Sentences that a reader of logs has to tell apart; the words here are the only ones it depends on. */
export const logPatterns = {
  /** A process begins: it knows nothing yet. */
  isStart: ({ part, message }: LogLine) => part === 'kernel' && message === 'starts',
  /** A request or item went its usual way. */
  isRoutine: ({ message }: LogLine) => /^(answered|started|stopped) /.test(message),
  isAccepted: ({ part, fields }: LogLine) => part === 'jobs' && fields.how === 'accepted',
  isTakeOver: ({ part, message }: LogLine) => part === 'jobs' && /^took .*\bover$/.test(message),
  isHandOver: ({ part, message }: LogLine) => part === 'jobs' && /^gave .*\bowner$/.test(message)
} as const
