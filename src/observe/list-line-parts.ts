import type { LogLine } from './log-line.js'

/** Lists the shared parts of prompts that a line names. */
export function listLineParts ({ fields: { prompt, parts } }: LogLine): readonly string[] {
  return [prompt, ...Array.isArray(parts) ? parts : []].filter(part => typeof part === 'string')
}
