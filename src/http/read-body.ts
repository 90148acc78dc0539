import type { IncomingMessage } from 'node:http'
import type { Result } from 'ts-results'
import type { BodyFailure } from './body-failure.js'
import { RequestBody } from './request-body.js'

/**
 * Reads a whole request body of at most `limit` bytes. Resolves to an error as soon as the body exceeds that, which bounds
 * the memory it takes. The rest is read and dropped.
 */
export async function readBody (req: IncomingMessage, limit: number): Promise<Result<Buffer, BodyFailure>> {
  return await new RequestBody(req, { getLimit: () => limit }).whole
}
