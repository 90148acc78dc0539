import type { LogLine } from './log-line.js'

/** Recognises the log lines that a trace treats specially. No other code depends on the text of log messages. */
export const logPatterns = {
  /** A process starts, and holds no state yet. */
  isStart: ({ part, message }: LogLine) => part === 'kernel' && message === 'starts',
  /** A request or item was handled normally. */
  isRoutine: ({ message }: LogLine) => /^(answered|started|stopped) /.test(message),
  /** A job was accepted by its first owner. */
  isAccepted: ({ part, fields }: LogLine) => part === 'jobs' && fields.how === 'accepted',
  /** A daemon took over the job of another owner. */
  isTakeOver: ({ part, message }: LogLine) => part === 'jobs' && /^took .*\bover$/.test(message),
  /** A daemon handed a job to the other daemon that owned it too. */
  isHandOver: ({ part, message }: LogLine) => part === 'jobs' && /^gave .*\bowner$/.test(message)
} as const
