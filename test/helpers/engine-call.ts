/**
 * A call to the thread of a `ThreadedEngine`.
 * - `start`: listens; answered with the port and the engine's start.
 * - `break`: sets the numbers of events after which the next runs break off.
 * - `unmarked`: lets all of its answers end with their connections.
 * - `stand still`: blocks the thread for `time` ms.
 * - `runs`: answered with all runs so far.
 */
export type EngineCall =
  | { readonly type: 'start', readonly port: number }
  | { readonly type: 'break', readonly after: readonly number[] }
  | { readonly type: 'unmarked' }
  | { readonly type: 'stand still', readonly time: number }
  | { readonly type: 'runs' }
