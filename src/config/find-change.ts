import type { ManifestChange } from './manifest-change.js'

/**
 * Looks for a change in the history of the version that is there now: the version it became; `absent` where another
 * change was accepted in its place or none yet; `untold` where the history doesn't reach back that far.
 */
export function findChange (current: { readonly version: number, readonly changes: readonly ManifestChange[] }, { id, basedOn }: { readonly id: string, readonly basedOn: number }): number | 'absent' | 'untold' {
  const { version, changes } = current
  const index = changes.findIndex(change => change.id === id)
  if (index >= 0) return changes[index + 1]?.basedOn ?? version
  return version <= basedOn || changes.some(change => change.basedOn === basedOn) ? 'absent' : 'untold'
}
