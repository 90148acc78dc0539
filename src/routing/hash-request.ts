import { createHash } from 'node:crypto'
import type { ServerRequest } from './server-request.js'

/** Names what a request asks, whoever carries it: the same caller, service, path and body give the same fingerprint. */
export function hashRequest ({ caller, service, path, body }: Pick<ServerRequest, 'caller' | 'service' | 'path' | 'body'>): string {
  const hash = createHash('sha256')
  for (const part of [caller, service, path]) hash.update(part).update('\0')
  return hash.update(body ?? '').digest('base64url')
}
