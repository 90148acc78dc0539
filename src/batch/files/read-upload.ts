import { Ok, type Result } from 'ts-results'
import type { Service } from '../../config/service.js'
import { findService } from '../find-service.js'
import type { Item } from '../item.js'
import { readItems } from '../read-items.js'

/** Parses a batch file and groups its items by service. Sets `idempotent` of each item. */
export function readUpload (text: string, services: Readonly<Record<string, Service>>): Result<ReadonlyMap<string, readonly Item[]>, readonly { readonly line: number, readonly message: string }[]> {
  const read = readItems(text, item => {
    const found = findService(item, services)
    return typeof found === 'string' ? found : undefined
  })
  if (read.err) return read
  const byService = new Map<string, Item[]>()
  for (const item of read.val) {
    const target = findService(item, services)
    if (typeof target === 'string') continue
    const idempotent = target.service.idempotent && item.idempotent !== false
    const items = byService.get(target.name) ?? []
    byService.set(target.name, items)
    items.push({ ...item, idempotent })
  }
  return Ok(byService)
}
