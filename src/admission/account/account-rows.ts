import type { AccountCounts } from './account-counts.js'

/** Counts by `caller/service/work`. */
export type AccountRows = Readonly<Record<string, AccountCounts>>
