/**
 * A call to the thread of a `ThreadedEngine`.
 * - `start`: listens; answered with the port and the engine's start.
 * - `break`: sets the numbers of events after which the next runs break off.
 * - `runs`: answered with all runs so far.
 */
export type EngineCall =
  | { readonly type: 'start', readonly port: number }
  | { readonly type: 'break', readonly after: readonly number[] }
  | { readonly type: 'runs' }
