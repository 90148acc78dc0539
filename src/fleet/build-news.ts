import type { WatchBatch } from '../store/watch-batch.js'

/** A copy of what changed, with only the objects of `names` in full: those that are told for the first time. */
export function buildNews<T> ({ revision, changed, deleted, after }: WatchBatch<T>, names: readonly string[]): WatchBatch<T> {
  const told = changed.filter(({ name }) => names.includes(name))
  const present = new Set(changed.map(({ name }) => name))
  const gone = new Set([...deleted, ...names.filter(name => !present.has(name))])
  if (after === undefined) return { revision, changed: told, deleted: [...gone] }
  const known = changed.filter(({ name }) => !names.includes(name)).map(({ name, version }) => ({ name, version }))
  return { revision, after, changed: told, known, deleted: [...gone] }
}
