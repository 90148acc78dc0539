import type { Readable } from 'node:stream'
import type { Refusal } from '../admission/refusal.js'
import type { ServerAnswer } from '../routing/server-answer.js'

/** What a keyed request comes to. */
export type KeyedOutcome =
  /** The answer of the one run; `replayed` when it was recorded earlier, and otherwise what the run tells of itself. */
  | { readonly type: 'answered', readonly status: number, readonly contentType?: string, readonly body: Buffer | Readable, readonly replayed: boolean, readonly run?: Pick<ServerAnswer, 'countTokens' | 'findFailure'> }
  /** It ran once, and its answer was too long to be kept. */
  | { readonly type: 'not kept', readonly status: number }
  /** The key came before with another request. */
  | { readonly type: 'mismatch' }
  | { readonly type: 'in progress' }
  /** It may have run once, and won't run again. */
  | { readonly type: 'unknown', readonly cause: string }
  | { readonly type: 'refused', readonly refusal: Refusal }
