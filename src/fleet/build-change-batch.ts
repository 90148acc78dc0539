import type { WatchBatch } from '../store/watch-batch.js'

/** A copy of what changed, with only the objects of `names` in full: those that are told for the first time. */
export function buildChangeBatch<T> ({ revision, changed, deleted, after }: WatchBatch<T>, names: readonly string[]): WatchBatch<T> {
  const included = changed.filter(({ name }) => names.includes(name))
  const present = new Set(changed.map(({ name }) => name))
  const removed = new Set([...deleted, ...names.filter(name => !present.has(name))])
  if (after === undefined) return { revision, changed: included, deleted: [...removed] }
  const known = changed.filter(({ name }) => !names.includes(name)).map(({ name, version }) => ({ name, version }))
  return { revision, after, changed: included, known, deleted: [...removed] }
}
