import type { ReadProblem } from '../read-problem.js'

/** Why no trace of an id can be read. */
export type TraceError =
  | { readonly type: 'no folder', readonly detail: string }
  | { readonly type: 'no log', readonly files: number, readonly unread: readonly ReadProblem[] }
  | { readonly type: 'unknown id', readonly lines: number, readonly instances: number, readonly unread: readonly ReadProblem[] }
