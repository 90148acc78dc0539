import type { BatchWork } from './batch-work.js'

const CHARACTERS_PER_TOKEN = 4
/** Prompt tokens to prefill for a cached context: at most its last block. */
const CACHED_PREFILL = 16

/** Estimates how many prompt tokens an engine has to prefill for an item. */
export function estimatePrefill ({ item, resumeFrom = [] }: BatchWork, cached: boolean): number {
  if (cached) return CACHED_PREFILL
  const { prompt, messages } = item.body
  return Math.ceil(JSON.stringify(messages ?? prompt ?? '').length / CHARACTERS_PER_TOKEN) + resumeFrom.length
}
