import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Configuration } from '../config/configuration.js'

const BEARER = /^Bearer (\S+)$/i
const byConfiguration = new WeakMap<Configuration, Map<string, string>>()

/** Returns the caller that the request's bearer token belongs to; undefined where there is none. */
export function authenticate (req: IncomingMessage, configuration: Configuration): string | undefined {
  const token = BEARER.exec(req.headers.authorization ?? '')?.[1]
  if (token === undefined) return undefined
  return indexTokens(configuration).get(createHash('sha256').update(token).digest('hex'))
}

function indexTokens (configuration: Configuration): Map<string, string> {
  const known = byConfiguration.get(configuration)
  if (known !== undefined) return known
  const index = new Map<string, string>()
  for (const [name, { tokens }] of Object.entries(configuration.callers)) {
    for (const token of tokens) index.set(token, name)
  }
  byConfiguration.set(configuration, index)
  return index
}
