import type { ManifestChange } from './manifest-change.js'

const MAX_CHANGES = 30
const MAX_FILE_NAMES = 8

/** Appends a change to the history, which keeps the newest 30, each with at most 8 file names. */
export function addChange (changes: readonly ManifestChange[], change: Omit<ManifestChange, 'more'>): readonly ManifestChange[] {
  const files = change.files.slice(0, MAX_FILE_NAMES)
  return [...changes, { ...change, files, more: change.files.length - files.length }].slice(-MAX_CHANGES)
}
