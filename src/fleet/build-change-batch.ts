import type { WatchBatch } from '../store/watch-batch.js'

/**
 * Returns a copy of a batch that includes in full only the objects of `names`; names without an object count as deleted. If the batch
 * has a starting revision, its other objects are listed by version in `known`.
 */
export function buildChangeBatch<T> ({ revision, changed, deleted, after }: WatchBatch<T>, names: readonly string[]): WatchBatch<T> {
  const wanted = new Set(names)
  const included = changed.filter(({ name }) => wanted.has(name))
  const present = new Set(changed.map(({ name }) => name))
  const removed = new Set([...deleted, ...names.filter(name => !present.has(name))])
  if (after === undefined) return { revision, changed: included, deleted: [...removed] }
  const known = changed.filter(({ name }) => !wanted.has(name)).map(({ name, version }) => ({ name, version }))
  return { revision, after, changed: included, known, deleted: [...removed] }
}
