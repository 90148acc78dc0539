import type { ManifestChange } from './manifest-change.js'

/**
 * Finds a change in the history of the current version. Returns the version that it became; `absent` if another change
 * was accepted in its place, or none yet; `untold` if the history doesn't reach back that far.
 */
export function findChange (current: { readonly version: number, readonly changes: readonly ManifestChange[] }, { id, basedOn }: { readonly id: string, readonly basedOn: number }): number | 'absent' | 'untold' {
  const { version, changes } = current
  const index = changes.findIndex(change => change.id === id)
  if (index >= 0) return changes[index + 1]?.basedOn ?? version
  return version <= basedOn || changes.some(change => change.basedOn === basedOn) ? 'absent' : 'untold'
}
