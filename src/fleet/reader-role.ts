/**
 * A daemon's part in reading a kind of object from the store.
 * - `watcher`: one of its failure domain's watchers; `rank` is its place among the watchers of all domains.
 * - `alone`: receives no heartbeats of watchers, and reads for itself.
 * - `substitute`: the watchers are there but have had no answer for long.
 * - `follower`: relies on the watchers.
 */
export type ReaderRole =
  | { readonly type: 'watcher', readonly rank: number }
  | { readonly type: 'alone' }
  | { readonly type: 'substitute' }
  | { readonly type: 'follower' }
