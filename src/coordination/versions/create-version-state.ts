import type { VersionState } from './version-state.js'

/** Creates the state of a holder that has no version yet. */
export function createVersionState<Part> (): VersionState<Part> {
  return { parts: new Map(), peers: [], asked: { version: 0, at: -Infinity }, digestSentAt: -Infinity, fetched: { at: -Infinity, tries: 0 } }
}
