import type { AccountCounts } from './account-counts.js'

/** Counts of zero, and the defaults for fields that a daemon of an older version left out. */
export const noCounts: AccountCounts = { asked: 0, answered: 0, tokens: 0, waited: 0, got: 0, entitled: 0, refused: {}, failed: {}, jobs: {} }
