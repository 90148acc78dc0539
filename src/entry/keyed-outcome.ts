import type { Readable } from 'node:stream'
import type { Refusal } from '../admission/refusal.js'
import type { ServerAnswer } from '../routing/exchanges/server-answer.js'

/** The outcome of a keyed request. */
export type KeyedOutcome =
  /** The answer of the only run; `replayed` where it was recorded earlier, otherwise with the `run` for accounting. */
  | { readonly type: 'answered', readonly status: number, readonly contentType?: string, readonly body: Buffer | Readable, readonly replayed: boolean, readonly run?: Pick<ServerAnswer, 'countTokens' | 'findFailure'> }
  /** The request ran once, and its answer was too long to be recorded. */
  | { readonly type: 'not kept', readonly status: number }
  /** The key was used before with a different request. */
  | { readonly type: 'mismatch' }
  | { readonly type: 'in progress' }
  /** The request may have run once and won't run again. */
  | { readonly type: 'unknown', readonly cause: string }
  | { readonly type: 'refused', readonly refusal: Refusal }
