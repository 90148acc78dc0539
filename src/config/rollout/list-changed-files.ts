import type { ManifestChange } from './manifest-change.js'

/** Lists the files changed since version `basedOn`, and the number not named; undefined if the history is too short. */
export function listChangedFiles (changes: readonly ManifestChange[], basedOn: number): { readonly files: readonly string[], readonly more: number } | undefined {
  const first = changes.findIndex(change => change.basedOn === basedOn)
  if (first < 0) return undefined
  const since = changes.slice(first)
  return { files: [...new Set(since.flatMap(({ files }) => files))].sort(), more: since.reduce((sum, { more }) => sum + more, 0) }
}
