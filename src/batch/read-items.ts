import { Err, Ok, type Result } from 'ts-results'
import type { Item } from './item.js'

const MAX_FINDINGS = 100

/** One thing wrong in a batch file. */
interface LineFinding { readonly line: number, readonly message: string }

/** Reads a batch file, one JSON object a line; all findings come together, each with its line. */
export function readItems (text: string): Result<readonly Item[], readonly LineFinding[]> {
  const items: Item[] = []
  const findings: LineFinding[] = []
  const seen = new Map<string, number>()
  text.split('\n').forEach((line, index) => {
    if (line.trim() === '' || findings.length >= MAX_FINDINGS) return
    const item = readItem(line)
    const message = typeof item === 'string' ? item : seen.has(item.id) ? `custom_id: ${item.id} stands on line ${seen.get(item.id)} already` : undefined
    if (message !== undefined || typeof item === 'string') {
      findings.push({ line: index + 1, message: message! })
      return
    }
    seen.set(item.id, index + 1)
    items.push(item)
  })
  if (items.length + findings.length === 0) findings.push({ line: 1, message: 'the file holds no item' })
  return findings.length > 0 ? Err(findings) : Ok(items)
}

function readItem (line: string): Item | string {
  let value: any
  try {
    value = JSON.parse(line)
  } catch {
    return 'not a JSON object'
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return 'not a JSON object'
  if (typeof value.custom_id !== 'string' || value.custom_id === '') return 'custom_id: must be a string that is not empty'
  if (value.method !== 'POST') return 'method: must be POST'
  if (typeof value.url !== 'string') return 'url: must be a string'
  if (typeof value.body !== 'object' || value.body === null || Array.isArray(value.body)) return 'body: must be an object'
  return { id: value.custom_id, url: value.url, body: value.body }
}
