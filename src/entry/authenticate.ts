import type { IncomingMessage } from 'node:http'
import type { Configuration } from '../config/configuration.js'
import { findCaller } from '../config/find-caller.js'

const BEARER = /^Bearer (\S+)$/i

/** Returns the caller that the request's bearer token belongs to; undefined where there is none. */
export function authenticate (req: IncomingMessage, { callers }: Configuration): string | undefined {
  const token = BEARER.exec(req.headers.authorization ?? '')?.[1]
  return token === undefined ? undefined : findCaller(callers, token)
}
