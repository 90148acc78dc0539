import { createHash } from 'node:crypto'
import type { ServerRequest } from './exchanges/server-request.js'

/** Returns a fingerprint of the request's caller, service, path and body, which is equal for repeated requests. */
export function hashRequest ({ caller, service, path, body }: Pick<ServerRequest, 'caller' | 'service' | 'path' | 'body'>): string {
  const hash = createHash('sha256')
  for (const part of [caller, service, path]) hash.update(part).update('\0')
  return hash.update(body ?? '').digest('base64url')
}
