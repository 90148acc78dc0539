import { decodeFile } from './decode-file.js'
import { isValueMap } from './is-value-map.js'
import { maxFileBytes } from './rollout/max-file-bytes.js'
import { readValue } from './read-value.js'
import type { ValueMap } from './value-map.js'

/** Parses a file to plain values without locations; undefined if anything is wrong with it. */
export function readFileValue (file: string, text: string): ValueMap | undefined {
  if (Buffer.byteLength(text) > maxFileBytes) return undefined
  const entry = decodeFile(file, text)
  const value = entry.ok ? readValue(entry.val) : undefined
  return isValueMap(value) ? value : undefined
}
