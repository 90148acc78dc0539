import type { IncomingMessage } from 'node:http'
import { Err, Ok, type Result } from 'ts-results'

/**
 * Reads a whole request body of at most `limit` bytes. A longer one is an error as soon as the limit is passed,
 * so that a caller can't make the daemon hold more than that.
 */
export async function readBody (req: IncomingMessage, limit: number): Promise<Result<Buffer, 'too large' | 'cut'>> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > limit) return Err('too large')
      chunks.push(chunk)
    }
  } catch {
    return Err('cut')
  }
  return Ok(Buffer.concat(chunks))
}
