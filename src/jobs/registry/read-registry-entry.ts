import type { JobRoute } from '../job-route.js'
import type { RegistryEntry } from './registry-entry.js'

/** Reads an entry from another daemon; undefined if it isn't one. */
export function readRegistryEntry (value: unknown): RegistryEntry | undefined {
  const { id, host, path, route, caller, owner, run, submittedAt, tokensLeft, stored, closed, version = 0, removedAt } = (value ?? {}) as Partial<RegistryEntry>
  if (typeof id !== 'string' || typeof host !== 'string' || typeof path !== 'string' || typeof owner !== 'string') return undefined
  if (caller !== undefined && typeof caller !== 'string') return undefined
  if (![run, submittedAt, tokensLeft, version, removedAt ?? 0].every(Number.isFinite)) return undefined
  const accepting = readRoute(route)
  return { id, host, path, ...accepting !== undefined && { route: accepting }, ...caller !== undefined && { caller }, owner, run: run!, submittedAt: submittedAt!, tokensLeft: tokensLeft!, stored: stored === true, closed: closed === true, version, removedAt }
}

function readRoute (value: unknown): JobRoute | undefined {
  const { name, pathPrefix } = Object(value) as { readonly name?: unknown, readonly pathPrefix?: unknown }
  return typeof pathPrefix === 'string' ? { pathPrefix, ...typeof name === 'string' && { name } } : undefined
}
