import type { BatchFile } from './batch-file.js'

const MS_PER_SECOND = 1_000

/** Formats a file in the OpenAI shape. */
export function showFile ({ id, bytes, created, name }: BatchFile): unknown {
  return { id, object: 'file', bytes, created_at: Math.floor(created / MS_PER_SECOND), filename: name, purpose: 'batch', status: 'processed' }
}
